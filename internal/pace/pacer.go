// Package pace shares the bytes a second of a link between transfers. Urgent
// transfers go first; each lower priority keeps a floor, so that its transfers
// go on moving.
package pace

import (
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// MaxChunk is the most bytes granted at once.
	MaxChunk = 32 << 10
	// minChunk is the least bytes granted at once to a transfer that asks for
	// more, so that a slow link is not cut into tiny writes.
	minChunk = 4 << 10
	// percentBase is the divisor of percentages.
	percentBase = 100
)

// Source yields the bytes that this entry VM may send over the link.
type Source interface {
	// TakeUpTo takes at most n bytes and returns how many it gave.
	TakeUpTo(now time.Time, n int64) int64
	// NextAvailable returns when more bytes may be there.
	NextAvailable(now time.Time) time.Time
}

// Floors is the percentage of granted bytes that each priority keeps while it
// has transfers waiting.
type Floors [model.NumPriorities]int

// DefaultFloors returns the floors used where an operator sets none.
func DefaultFloors() Floors { return Floors{50, 20, 5} }

// TransferID names one transfer at a Pacer.
type TransferID uint64

// Grant allows a transfer to send bytes.
type Grant struct {
	ID    TransferID
	Bytes int64
}

// request is a transfer that waits for bytes.
type request struct {
	id    TransferID
	bytes int64
}

// Pacer grants the bytes of a Source to transfers. It is a state machine
// without clock or goroutine and is not safe for concurrent use.
type Pacer struct {
	source Source
	floors Floors
	queues [model.NumPriorities]fifo
	// credit is the count of bytes that each floor still owes.
	credit [model.NumPriorities]int64
	// held is the count of bytes taken from the source and not granted.
	unspent int64
	grants  []Grant
}

// NewPacer returns a pacer that spends the bytes of source.
func NewPacer(source Source, floors Floors) *Pacer {
	return &Pacer{source: source, floors: floors}
}

// SetFloors replaces the floors.
func (p *Pacer) SetFloors(floors Floors) { p.floors = floors }

// Request asks for up to n bytes, at most MaxChunk, for a transfer that does
// not wait already. It returns the granted bytes, or zero and the time at
// which to call Poll, whose grants then include the transfer's.
func (p *Pacer) Request(now time.Time, id TransferID, priority model.Priority, n int64) (int64, time.Time) {
	if n <= 0 {
		return 0, now
	}
	n = min(n, MaxChunk)
	priority = min(priority, model.PriorityBulk)
	if granted := p.grantImmediately(now, priority, n); granted > 0 {
		return granted, now
	}
	p.queues[priority].push(request{id: id, bytes: n})
	return 0, p.source.NextAvailable(now)
}

// Poll grants what the source yields now to waiting transfers. It returns the
// grants, in a buffer that the next call overwrites, and when to call again;
// the time is zero when no transfer waits.
func (p *Pacer) Poll(now time.Time) ([]Grant, time.Time) {
	p.grants = p.grants[:0]
	for p.hasWaiting() {
		granted := p.grantNext(now)
		if granted == 0 {
			return p.grants, p.source.NextAvailable(now)
		}
	}
	return p.grants, time.Time{}
}

// Cancel withdraws a waiting transfer.
func (p *Pacer) Cancel(id TransferID) {
	for i := range p.queues {
		if p.queues[i].remove(id) {
			return
		}
	}
}

// Return gives back granted bytes that were not sent.
func (p *Pacer) Return(n int64) { p.unspent += max(0, n) }

// grantAtOnce serves a request that no other one waits ahead of.
func (p *Pacer) grantImmediately(now time.Time, priority model.Priority, n int64) int64 {
	if p.hasWaiting() {
		return 0
	}
	granted := p.takeChunk(now, n)
	p.recordGrant(priority, granted)
	return granted
}

func (p *Pacer) hasWaiting() bool {
	for i := range p.queues {
		if p.queues[i].len() > 0 {
			return true
		}
	}
	return false
}

// grantNext serves the next waiting transfer and returns its bytes, or zero
// when the source has too few.
func (p *Pacer) grantNext(now time.Time) int64 {
	priority := p.nextPriority()
	queue := &p.queues[priority]
	granted := p.takeChunk(now, queue.front().bytes)
	if granted == 0 {
		return 0
	}
	p.recordGrant(priority, granted)
	r := queue.pop()
	p.grants = append(p.grants, Grant{ID: r.id, Bytes: granted})
	return granted
}

// next returns the priority to serve: the most urgent one that is owed its
// request, else the most urgent one that waits.
func (p *Pacer) nextPriority() model.Priority {
	mostUrgent := model.Priority(model.NumPriorities)
	for i := range p.queues {
		if p.queues[i].len() == 0 {
			continue
		}
		if p.credit[i] >= p.queues[i].front().bytes {
			return model.Priority(i)
		}
		mostUrgent = min(mostUrgent, model.Priority(i))
	}
	return mostUrgent
}

// draw takes up to n bytes, but no less than a small chunk.
func (p *Pacer) takeChunk(now time.Time, n int64) int64 {
	if p.unspent < n {
		p.unspent += p.source.TakeUpTo(now, n-p.unspent)
	}
	if p.unspent < min(n, minChunk) {
		return 0
	}
	granted := min(n, p.unspent)
	p.unspent -= granted
	return granted
}

// account charges granted bytes to a priority and credits the floors of all
// that wait.
func (p *Pacer) recordGrant(priority model.Priority, granted int64) {
	for i := range p.queues {
		if p.queues[i].len() == 0 {
			continue
		}
		p.credit[i] += granted * int64(p.floors[i]) / percentBase
		p.credit[i] = min(p.credit[i], maxCredit)
	}
	p.credit[priority] = max(0, p.credit[priority]-granted)
}
