package peer

import (
	"math/rand"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/model"
)

// message is an envelope that waits to be written. call is nil for one-way
// messages and replies.
type message struct {
	env  envelope
	call *call
}

// fail ends the call of a message that was never written.
func (m *message) fail(err error) {
	if m.call != nil {
		m.call.finish(result{err: err})
	}
}

// call is a request that waits for its reply.
type call struct {
	done      chan result
	abandoned atomic.Bool
}

func newCall() *call { return &call{done: make(chan result, 1)} }

// finish delivers the first result and ignores later ones.
func (c *call) finish(r result) {
	select {
	case c.done <- r:
	default:
	}
}

func (c *call) abandon() { c.abandoned.Store(true) }

// remote is what a Mesh keeps of one other VM.
type remote struct {
	vm          model.VMID
	address     string
	incarnation model.Incarnation
	links       []*link
	dialing     bool
	retry       backoff
	// waiting holds messages until the dial under way ends.
	waiting []*message
}

// best returns the link to send on. When both sides dialled at once, both pick
// the link that the lower VM dialled, and the other one becomes idle.
func (r *remote) best() *link {
	var best *link
	for _, l := range r.links {
		if best == nil || l.preferredTo(best) {
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

// backoff spaces attempts to dial one VM.
type backoff struct {
	delay time.Duration
	until time.Time
}

func (b *backoff) reset() { *b = backoff{} }

func (b *backoff) due(now time.Time) bool { return !now.Before(b.until) }

// fail doubles the delay and waits for half of it plus a random part.
func (b *backoff) fail(now time.Time, rng *rand.Rand) {
	b.delay = min(max(2*b.delay, minDialDelay), maxDialDelay)
	half := b.delay / 2
	b.until = now.Add(half + time.Duration(rng.Int63n(int64(half))))
}
