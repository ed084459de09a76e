package peer

import (
	"math/rand"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/model"
)

// message is a queued envelope. call is nil for one-way messages and replies.
type message struct {
	env  envelope
	call *call
}

// fail ends the call, if any, of a message that was not written.
func (m *message) fail(err error) {
	if m.call != nil {
		m.call.complete(result{err: err})
	}
}

// call is a request that waits for its reply. abandoned is set once the caller
// stopped waiting.
type call struct {
	done      chan result
	abandoned atomic.Bool
}

func newCall() *call { return &call{done: make(chan result, 1)} }

// complete delivers the first result and ignores later ones.
func (c *call) complete(r result) {
	select {
	case c.done <- r:
	default:
	}
}

func (c *call) abandon() { c.abandoned.Store(true) }

// remote is the state of a Mesh for one other VM.
type remote struct {
	vm          model.VMID
	address     string
	incarnation model.Incarnation
	links       []*link
	dialing     bool
	retry       backoff
	// waiting holds the messages queued until the dial in progress ends.
	waiting []*message
}

// preferredLink returns the link to send on, nil without one. If both sides dialled
// at once, both choose the link dialled by the VM with the lower ID, and the other
// link becomes idle.
func (r *remote) preferredLink() *link {
	var best *link
	for _, l := range r.links {
		if best == nil || l.preferredOver(best) {
			best = l
		}
	}
	return best
}

func (r *remote) add(l *link) { r.links = append(r.links, l) }

func (r *remote) remove(gone *link) {
	for i, l := range r.links {
		if l == gone {
			r.links = append(r.links[:i], r.links[i+1:]...)
			return
		}
	}
}

func (r *remote) failWaiting() {
	for _, msg := range r.waiting {
		msg.fail(ErrNoLink)
	}
	r.waiting = nil
}

// backoff delays repeated attempts to dial one VM.
type backoff struct {
	delay time.Duration
	until time.Time
}

func (b *backoff) reset() { *b = backoff{} }

func (b *backoff) due(now time.Time) bool { return !now.Before(b.until) }

// fail doubles the delay within its bounds and sets the next attempt to half of it
// plus a random part of the other half.
func (b *backoff) fail(now time.Time, rng *rand.Rand) {
	b.delay = min(max(2*b.delay, minDialDelay), maxDialDelay)
	half := b.delay / 2
	b.until = now.Add(half + time.Duration(rng.Int63n(int64(half))))
}
