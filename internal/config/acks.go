package config

import (
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// proposalLife bounds the time from the start of an attempt to commit a
	// change until its last write of the head is sent.
	attemptTimeout = 10 * time.Second
	// ackLife is how long after an acknowledgement its attempt may still be
	// committed. It exceeds proposalLife by the longest time that a write may
	// be under way.
	ackTTL = 30 * time.Second
	// maxOpenAcks bounds the acknowledgements that one entry VM holds open.
	maxOpenAcks = 64
)

// attempt names one attempt to commit a change on a base revision.
type attemptID struct {
	change ChangeID
	base   model.Revision
}

// acks are this entry VM's acknowledgements whose outcome it does not know.
// Time alone closes none: the attempt may have been committed without this
// entry VM being told.
type ackTable struct {
	// started is when this process started. It has forgotten what the process
	// before it acknowledged.
	startedAt time.Time
	open      map[attemptID]openAck
}

type openAck struct {
	// expires is when the attempt has been committed or never will be.
	expiresAt time.Time
	// prepared is what the attempt would put in force.
	prepared *version
}

func newAckTable(startedAt time.Time) *ackTable {
	return &ackTable{startedAt: startedAt, open: make(map[attemptID]openAck)}
}

// add opens an acknowledgement. It returns false when too many are open.
func (a *ackTable) add(id attemptID, prepared *version, now time.Time) bool {
	if _, known := a.open[id]; !known && len(a.open) >= maxOpenAcks {
		return false
	}
	a.open[id] = openAck{expiresAt: now.Add(ackTTL), prepared: prepared}
	return true
}

// withdraw closes the acknowledgement of an attempt that will not be made.
func (a *ackTable) withdraw(id attemptID) { delete(a.open, id) }

// settle closes the acknowledgements that revision r decides.
func (a *ackTable) closeDecided(r model.Revision) {
	for id := range a.open {
		if id.base < r {
			delete(a.open, id)
		}
	}
}

// resolve closes the acknowledgements whose attempts ended before currentAt,
// the instant before which nothing above the revision in force was committed.
func (a *ackTable) closeExpired(latestAt time.Time) {
	for id, ack := range a.open {
		if !latestAt.Before(ack.expiresAt) {
			delete(a.open, id)
		}
	}
}

// prepared returns what the attempt would put in force, if it is open.
func (a *ackTable) prepared(id attemptID) (*version, bool) {
	ack, ok := a.open[id]
	return ack.prepared, ok
}

// clean reports whether nothing that this entry VM ever acknowledged can have
// been committed above the revision in force. currentAt is as in resolve; it
// rules out what the process before this one acknowledged.
func (a *ackTable) noneOutstanding(latestAt time.Time) bool {
	a.closeExpired(latestAt)
	return len(a.open) == 0 && !latestAt.Before(a.startedAt.Add(ackTTL))
}
