// Package pace shares the bandwidth of a link between transfers. Urgent transfers
// go first, and each priority has a floor, a guaranteed share of the bytes, so
// that transfers of lower priorities keep making progress.
package pace

import (
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// MaxChunk is the maximum number of bytes in a grant.
	MaxChunk = 32 << 10
	// minChunk is the minimum number of bytes in a grant, unless the transfer
	// asks for less. It keeps transfers on a slow link from sending many tiny
	// writes.
	minChunk = 4 << 10
	// percentBase is the divisor of percentages.
	percentBase = 100
)

// Source provides the bytes that this entry VM may send over a link.
type Source interface {
	// TakeUpTo takes at most n bytes and returns how many it took.
	TakeUpTo(now time.Time, n int64) int64
	// NextAvailable returns the time at which more bytes are expected.
	NextAvailable(now time.Time) time.Time
}

// Floors is the percentage of granted bytes guaranteed to each priority while it
// has waiting transfers.
type Floors [model.NumPriorities]int

// DefaultFloors returns the floors for urgent, normal and bulk transfers: 50, 20
// and 5 percent.
func DefaultFloors() Floors { return Floors{50, 20, 5} }

// TransferID identifies a transfer of a Pacer.
type TransferID uint64

// Grant allows a transfer to send a number of bytes, at most MaxChunk.
type Grant struct {
	ID    TransferID
	Bytes int64
}

// request is a transfer that waits for at most bytes bytes.
type request struct {
	id    TransferID
	bytes int64
}

// Pacer grants the bytes of a Source to transfers. It is a deterministic state
// machine without a clock or goroutine, and is not safe for concurrent use.
type Pacer struct {
	source Source
	floors Floors
	queues [model.NumPriorities]fifo
	// credit is the number of bytes that each floor still owes its priority.
	credit [model.NumPriorities]int64
	// unspent is the number of bytes taken from the source and not granted
	// yet.
	unspent int64
	// grants is the buffer that Poll returns.
	grants []Grant
}

// NewPacer returns a pacer that grants the bytes of source.
func NewPacer(source Source, floors Floors) *Pacer {
	return &Pacer{source: source, floors: floors}
}

// SetFloors replaces the floors from the next grant on.
func (p *Pacer) SetFloors(floors Floors) { p.floors = floors }

// Request asks for up to n bytes, at most MaxChunk, for a transfer that is not
// waiting already. It returns the number of bytes granted. If that is zero, the
// transfer waits: the time returned is when to call Poll, which returns the grant
// once the source provides the bytes.
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

// Poll grants the bytes that the source provides now to waiting transfers. It
// returns the grants, in a buffer that the next call overwrites, and when to call
// Poll again; the time is zero if no transfer waits.
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

// Cancel removes a waiting transfer. It has no effect on any other.
func (p *Pacer) Cancel(id TransferID) {
	for i := range p.queues {
		if p.queues[i].remove(id) {
			return
		}
	}
}

// Return takes back granted bytes that were not sent; later requests get them.
func (p *Pacer) Return(n int64) { p.unspent += max(0, n) }

// grantImmediately serves a request if no other transfer waits, and returns the
// number of bytes granted.
func (p *Pacer) grantImmediately(now time.Time, priority model.Priority, n int64) int64 {
	if p.hasWaiting() {
		return 0
	}
	granted := p.takeChunk(now, n)
	p.recordGrant(priority, granted)
	return granted
}

// hasWaiting reports whether any transfer waits.
func (p *Pacer) hasWaiting() bool {
	for i := range p.queues {
		if p.queues[i].len() > 0 {
			return true
		}
	}
	return false
}

// grantNext serves the next waiting transfer and returns the number of bytes
// granted, or zero if the source provides too few.
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

// nextPriority returns the priority to serve: the most urgent one whose credit
// covers its first request, or else the most urgent one with waiting transfers.
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

// takeChunk takes up to n bytes and returns how many, or zero if fewer than
// min(n, minChunk) are available.
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

// recordGrant adds each waiting priority's floor of the granted bytes to its
// credit, and deducts the bytes from the credit of the priority that got them.
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
