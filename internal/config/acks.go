package config

import (
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// proposalLife bounds the time from the start of an attempt to commit a
	// change until its last write of the head is sent.
	proposalLife = 10 * time.Second
	// ackLife is how long an acknowledgement stays open when nothing is heard
	// of its attempt. It exceeds proposalLife by the longest time that a write
	// may be under way.
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
type acks struct {
	// started is when this process started. Acknowledgements of the process
	// before it are forgotten, so that none can be ruled out for ackLife.
	started time.Time
	open    map[attempt]openAck
}

type openAck struct {
	expires time.Time
	// prepared is what the attempt would put in force.
	prepared *version
}

func newAcks(started time.Time) *acks {
	return &acks{started: started, open: make(map[attempt]openAck)}
}

// add opens an acknowledgement. It returns false when too many are open.
func (a *acks) add(at attempt, prepared *version, now time.Time) bool {
	a.expire(now)
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

// prepared returns what the attempt would put in force, if it is open.
func (a *acks) prepared(at attempt) (*version, bool) {
	ack, ok := a.open[at]
	return ack.prepared, ok
}

// clean reports whether no acknowledged change can be committed without this
// entry VM knowing.
func (a *acks) clean(now time.Time) bool {
	a.expire(now)
	return len(a.open) == 0 && now.Sub(a.started) >= ackLife
}

func (a *acks) expire(now time.Time) {
	for at, ack := range a.open {
		if !now.Before(ack.expires) {
			delete(a.open, at)
		}
	}
}
