package pace

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fuchsiaspar/internal/model"
)

// ErrGaveUp reports that a transfer's context ended before it was granted
// bytes.
var ErrWaitCancelled = errors.New("pace: gave up waiting for the link")

// minPause and maxPause bound the time between two polls of the source. The
// source may get more bytes sooner than it foresaw.
const (
	minPause = 500 * time.Microsecond
	maxPause = 20 * time.Millisecond
)

// Waiter lets traffic goroutines wait for their bytes of one link. It is safe
// for concurrent use.
type Waiter struct {
	mu      sync.Mutex
	pacer   *Pacer
	lastID  TransferID
	waiting map[TransferID]chan int64
	timer   *time.Timer
}

// NewWaiter returns a waiter on a new pacer over source.
func NewWaiter(source Source, floors Floors) *Waiter {
	return &Waiter{
		pacer:   NewPacer(source, floors),
		waiting: make(map[TransferID]chan int64),
	}
}

// SetFloors replaces the floors.
func (w *Waiter) SetFloors(floors Floors) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pacer.SetFloors(floors)
}

// Wait blocks until the caller may send bytes and returns how many, at most n
// and at most MaxChunk. It returns an error that matches ErrGaveUp when ctx
// ends first.
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

// request asks the pacer and registers the caller when it has to wait.
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
		w.schedule(now, next)
	}
	return w.lastID, ready, 0
}

// cancel withdraws a waiting caller. Bytes granted meanwhile go back.
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

// poll hands out the grants that are due.
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
		w.schedule(now, next)
	}
}

func (w *Waiter) schedule(now, next time.Time) {
	pause := min(max(next.Sub(now), minPause), maxPause)
	if w.timer == nil {
		w.timer = time.AfterFunc(pause, w.poll)
		return
	}
	w.timer.Reset(pause)
}
