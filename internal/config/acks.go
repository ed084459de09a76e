package config

import (
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// proposalLife bounds the time from the start of an attempt to commit a
	// change until its last write of the head is sent.
	proposalLife = 10 * time.Second
	// ackLife is how long after an acknowledgement its attempt may still be
	// committed. It exceeds proposalLife by the longest time that a write may
	// be under way.
	ackLife = 30 * time.Second
	// maxOpenAcks bounds the acknowledgements that one entry VM holds open.
	maxOpenAcks = 64
)

// attempt names one attempt to commit a change on a base revision.
type attempt struct {
	change ChangeID
	base   model.Revision
}

// acks are this entry VM's acknowledgements whose outcome it does not know.
// Time alone closes none: the attempt may have been committed without this
// entry VM being told.
type acks struct {
	// started is when this process started. It has forgotten what the process
	// before it acknowledged.
	started time.Time
	open    map[attempt]openAck
}

type openAck struct {
	// expires is when the attempt has been committed or never will be.
	expires time.Time
	// prepared is what the attempt would put in force.
	prepared *version
}

func newAcks(started time.Time) *acks {
	return &acks{started: started, open: make(map[attempt]openAck)}
}

// add opens an acknowledgement. It returns false when too many are open.
func (a *acks) add(at attempt, prepared *version, now time.Time) bool {
	if _, known := a.open[at]; !known && len(a.open) >= maxOpenAcks {
		return false
	}
	a.open[at] = openAck{expires: now.Add(ackLife), prepared: prepared}
	return true
}

// withdraw closes the acknowledgement of an attempt that will not be made.
func (a *acks) withdraw(at attempt) { delete(a.open, at) }

// settle closes the acknowledgements that revision r decides.
func (a *acks) settle(r model.Revision) {
	for at := range a.open {
		if at.base < r {
			delete(a.open, at)
		}
	}
}

// resolve closes the acknowledgements whose attempts ended before currentAt,
// the instant before which nothing above the revision in force was committed.
func (a *acks) resolve(currentAt time.Time) {
	for at, ack := range a.open {
		if !currentAt.Before(ack.expires) {
			delete(a.open, at)
		}
	}
}

// prepared returns what the attempt would put in force, if it is open.
func (a *acks) prepared(at attempt) (*version, bool) {
	ack, ok := a.open[at]
	return ack.prepared, ok
}

// clean reports whether nothing that this entry VM ever acknowledged can have
// been committed above the revision in force. currentAt is as in resolve; it
// rules out what the process before this one acknowledged.
func (a *acks) clean(currentAt time.Time) bool {
	a.resolve(currentAt)
	return len(a.open) == 0 && !currentAt.Before(a.started.Add(ackLife))
}
