package config

import (
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// attemptTimeout bounds one attempt to commit a change, from its start
	// until its last write of the head is sent.
	attemptTimeout = 10 * time.Second
	// ackTTL is how long after an acknowledgement its attempt may still be
	// committed. It exceeds attemptTimeout by the longest time that a write may
	// be in flight.
	ackTTL = 30 * time.Second
	// maxOpenAcks bounds the open acknowledgements of one entry VM.
	maxOpenAcks = 64
)

// attemptID identifies one attempt to commit a change on top of a base
// revision.
type attemptID struct {
	change ChangeID
	base   model.Revision
}

// ackTable holds the acknowledgements of this entry VM whose outcome is
// unknown. An entry does not close when its time is up: the attempt may have
// been committed without this VM being told. It closes only on evidence, see
// closeDecided and closeExpired. Callers synchronize access.
type ackTable struct {
	// startedAt is when this process started. The table does not include the
	// acknowledgements of an earlier process of the same VM.
	startedAt time.Time
	open      map[attemptID]openAck
}

type openAck struct {
	// expiresAt is the instant by which the attempt is either committed or can
	// no longer be.
	expiresAt time.Time
	// prepared is the version that the attempt would make active.
	prepared *version
}

func newAckTable(startedAt time.Time) *ackTable {
	return &ackTable{startedAt: startedAt, open: make(map[attemptID]openAck)}
}

// add opens an acknowledgement. It returns false if maxOpenAcks are already
// open.
func (a *ackTable) add(id attemptID, prepared *version, now time.Time) bool {
	if _, known := a.open[id]; !known && len(a.open) >= maxOpenAcks {
		return false
	}
	a.open[id] = openAck{expiresAt: now.Add(ackTTL), prepared: prepared}
	return true
}

// withdraw closes the acknowledgement of an attempt that its proposer gave up.
func (a *ackTable) withdraw(id attemptID) { delete(a.open, id) }

// closeDecided closes the acknowledgements of attempts on a base below r:
// adopting r shows whether they were committed.
func (a *ackTable) closeDecided(r model.Revision) {
	for id := range a.open {
		if id.base < r {
			delete(a.open, id)
		}
	}
}

// closeExpired closes the acknowledgements that expired by currentAsOf, the
// latest instant before which nothing above the active revision was committed.
// Such attempts were not committed and no longer can be.
func (a *ackTable) closeExpired(currentAsOf time.Time) {
	for id, ack := range a.open {
		if !currentAsOf.Before(ack.expiresAt) {
			delete(a.open, id)
		}
	}
}

// prepared returns the version that an open attempt would make active.
func (a *ackTable) prepared(id attemptID) (*version, bool) {
	ack, ok := a.open[id]
	return ack.prepared, ok
}

// noneOutstanding reports whether no acknowledgement of this entry VM can have
// led to a commit above the active revision. currentAsOf has the meaning it has
// for closeExpired. It must lie ackTTL after the start of this process, which
// rules out acknowledgements given by an earlier process.
func (a *ackTable) noneOutstanding(currentAsOf time.Time) bool {
	a.closeExpired(currentAsOf)
	return len(a.open) == 0 && !currentAsOf.Before(a.startedAt.Add(ackTTL))
}
