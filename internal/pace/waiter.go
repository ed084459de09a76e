package pace

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fuchsiaspar/internal/model"
)

// ErrWaitCancelled is returned when a transfer's context ends before bytes are granted.
var ErrWaitCancelled = errors.New("pace: gave up waiting for the link")

// minPollInterval and maxPollInterval limit the time between two polls of the
// source. The maximum applies because the source may get more bytes earlier than
// it expected.
const (
	minPollInterval = 500 * time.Microsecond
	maxPollInterval = 20 * time.Millisecond
)

// Waiter lets goroutines wait for bytes that they may send over one link. It wraps
// a Pacer and is safe for concurrent use.
type Waiter struct {
	mu     sync.Mutex
	pacer  *Pacer
	lastID TransferID
	// waiting holds a channel with room for one grant for each waiting caller.
	waiting map[TransferID]chan int64
	// timer calls poll. It is nil until a caller first has to wait.
	timer *time.Timer
}

// NewWaiter returns a waiter with a new pacer that grants the bytes of source.
func NewWaiter(source Source, floors Floors) *Waiter {
	return &Waiter{
		pacer:   NewPacer(source, floors),
		waiting: make(map[TransferID]chan int64),
	}
}

// SetFloors replaces the floors from the next grant on.
func (w *Waiter) SetFloors(floors Floors) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pacer.SetFloors(floors)
}

// Wait blocks until the caller may send bytes and returns how many: at most n and
// at most MaxChunk, or zero at once if n is not positive. It returns an error that
// matches ErrWaitCancelled if ctx ends first.
func (w *Waiter) Wait(ctx context.Context, priority model.Priority, n int) (int, error) {
	if n <= 0 {
		return 0, nil
	}
	id, ready, granted := w.request(priority, n)
	if granted > 0 {
		return granted, nil
	}
	select {
	case bytes := <-ready:
		return int(bytes), nil
	case <-ctx.Done():
		w.cancel(id, ready)
		return 0, errors.Wrap(ErrWaitCancelled, ctx.Err().Error())
	}
}

// request asks the pacer for bytes and returns how many were granted. If none
// were, it registers the caller and returns its ID and the channel that receives
// the grant.
func (w *Waiter) request(priority model.Priority, n int) (TransferID, chan int64, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	now := time.Now()
	granted, next := w.pacer.Request(now, w.lastID, priority, int64(n))
	if granted > 0 {
		return 0, nil, int(granted)
	}
	ready := make(chan int64, 1)
	w.waiting[w.lastID] = ready
	if len(w.waiting) == 1 {
		w.schedulePoll(now, next)
	}
	return w.lastID, ready, 0
}

// cancel removes a waiting caller. Bytes granted in the meantime are returned to
// the pacer.
func (w *Waiter) cancel(id TransferID, ready chan int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pacer.Cancel(id)
	delete(w.waiting, id)
	select {
	case bytes := <-ready:
		w.pacer.Return(bytes)
	default:
	}
}

// poll passes the pacer's grants on to the waiting callers.
func (w *Waiter) poll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	grants, next := w.pacer.Poll(now)
	for _, g := range grants {
		w.waiting[g.ID] <- g.Bytes
		delete(w.waiting, g.ID)
	}
	if len(w.waiting) > 0 {
		w.schedulePoll(now, next)
	}
}

// schedulePoll schedules a call of poll at next, within the limits for polls.
func (w *Waiter) schedulePoll(now, next time.Time) {
	delay := min(max(next.Sub(now), minPollInterval), maxPollInterval)
	if w.timer == nil {
		w.timer = time.AfterFunc(delay, w.poll)
		return
	}
	w.timer.Reset(delay)
}
