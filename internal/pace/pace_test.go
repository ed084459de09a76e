package pace_test

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiaspar/internal/histories"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/pace"
)

var (
	historyCount = flag.Int("histories", 100, "random histories per test")
	seed         = flag.Int64("seed", 1, "seed of the histories")
)

const (
	ms            = time.Millisecond
	historyLength = 150
	linkRate      = 1 << 20
	linkBurst     = 64 << 10
)

var epoch = time.Unix(1_700_000_000, 0)

// fakeLink is a source that provides linkRate bytes per second and accumulates at
// most linkBurst bytes.
type fakeLink struct {
	lastRefill            time.Time
	available, totalGiven int64
	// surplus is the number of bytes by which a faulty link overstates what it
	// provides.
	surplus int64
}

func (l *fakeLink) TakeUpTo(now time.Time, n int64) int64 {
	if l.lastRefill.IsZero() {
		l.lastRefill = now
	}
	earned := int64(now.Sub(l.lastRefill) * linkRate / time.Second)
	l.lastRefill = l.lastRefill.Add(time.Duration(earned) * time.Second / linkRate)
	l.available = min(linkBurst, l.available+earned)
	taken := min(n, l.available)
	l.available -= taken
	l.totalGiven += taken
	return taken + l.surplus
}

func (l *fakeLink) NextAvailable(now time.Time) time.Time { return now.Add(4 * ms) }

// pacerModel runs commands on a pacer and records the first invariant that it
// violates.
type pacerModel struct {
	pacer  *pace.Pacer
	link   *fakeLink
	now    time.Time
	lastID pace.TransferID
	// waiting holds the bytes requested by each waiting transfer.
	waiting map[pace.TransferID]int64
	granted int64
	err     error
}

func (t *pacerModel) failf(format string, args ...any) {
	if t.err == nil {
		t.err = fmt.Errorf(format, args...)
	}
}

// Apply advances the time and runs a command chosen by d.
func (t *pacerModel) Apply(d histories.Draw) error {
	t.now = t.now.Add(time.Duration(d.Intn(6)) * 5 * ms)
	switch d.Intn(4) {
	case 0, 1:
		t.lastID++
		want := int64(1 + d.Intn(80<<10))
		got, _ := t.pacer.Request(t.now, t.lastID, model.Priority(d.Intn(model.NumPriorities)), want)
		if got > 0 {
			t.grant(t.lastID, got, want)
		} else {
			t.waiting[t.lastID] = want
		}
	case 2:
		t.poll()
	case 3:
		id := pace.TransferID(1 + d.Intn(uint64(t.lastID)+1))
		t.pacer.Cancel(id)
		delete(t.waiting, id)
	}
	return t.err
}

// poll checks that grants match waiting transfers, that Poll asks for another call
// exactly if transfers wait, and that none waits while the link has bytes.
func (t *pacerModel) poll() {
	grants, next := t.pacer.Poll(t.now)
	for _, g := range grants {
		want, ok := t.waiting[g.ID]
		if !ok {
			t.failf("grant for %d, which does not wait", g.ID)
		}
		delete(t.waiting, g.ID)
		t.grant(g.ID, g.Bytes, want)
	}
	if next.IsZero() != (len(t.waiting) == 0) {
		t.failf("next poll at %v with %d waiting", next, len(t.waiting))
	}
	if len(t.waiting) > 0 && t.link.available > 0 {
		t.failf("%d wait though the link has %d bytes", len(t.waiting), t.link.available)
	}
}

// grant checks that a grant is within the request, MaxChunk and the bytes that the
// link has provided.
func (t *pacerModel) grant(id pace.TransferID, got, want int64) {
	t.granted += got
	if got > want || got > pace.MaxChunk {
		t.failf("transfer %d got %d of %d", id, got, want)
	}
	if t.granted > t.link.totalGiven {
		t.failf("%d bytes granted of %d", t.granted, t.link.totalGiven)
	}
}

// TestPacerInvariants checks the pacer with random histories. A link that overstates
// its bytes must be detected, to show that the model finds violations.
func TestPacerInvariants(t *testing.T) {
	for _, surplus := range []int64{0, 1} {
		opts := histories.Options{Seed: *seed, Count: *historyCount, Length: historyLength}
		result := histories.Check(opts, func() histories.Subject {
			l := &fakeLink{surplus: surplus}
			return &pacerModel{pacer: pace.NewPacer(l, pace.DefaultFloors()), link: l, now: epoch,
				waiting: map[pace.TransferID]int64{}}
		})
		if result.Passed() != (surplus == 0) {
			t.Errorf("link with a surplus of %d, seed %d: %v", surplus, *seed, result)
		}
	}
}

// shares returns the fraction of bytes granted to each priority while four transfers
// of each are always waiting.
func shares(floors pace.Floors) [model.NumPriorities]float64 {
	const perPriority, steps = 4, 5000
	var got [model.NumPriorities]float64
	p := pace.NewPacer(&fakeLink{}, floors)
	for id := range pace.TransferID(perPriority * model.NumPriorities) {
		p.Request(epoch, id, model.Priority(id%model.NumPriorities), pace.MaxChunk)
	}
	total := 0.0
	for i := range steps {
		now := epoch.Add(time.Duration(i) * 10 * ms)
		grants, _ := p.Poll(now)
		for _, g := range append([]pace.Grant(nil), grants...) {
			priority := model.Priority(g.ID % model.NumPriorities)
			got[priority] += float64(g.Bytes)
			total += float64(g.Bytes)
			p.Request(now, g.ID, priority, pace.MaxChunk)
		}
	}
	for i := range got {
		got[i] /= total
	}
	return got
}

// TestFloorsOnSaturatedLink guards against a priority getting less than its floor on a
// saturated link. Without floors, urgent transfers must get all bytes, to show that
// the floors have an effect.
func TestFloorsOnSaturatedLink(t *testing.T) {
	for i, share := range shares(pace.DefaultFloors()) {
		if floor := float64(pace.DefaultFloors()[i]) / 100; share < floor*0.98 {
			t.Errorf("%v got %.3f, want %.3f", model.Priority(i), share, floor)
		}
	}
	if got := shares(pace.Floors{}); got[model.PriorityUrgent] < 1 {
		t.Errorf("without floors urgent got %.3f, want all", got[model.PriorityUrgent])
	}
}

func TestWriterSendsAllInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := pace.NewWaiter(&fakeLink{}, pace.DefaultFloors())
		var sent [model.NumPriorities]bytes.Buffer
		body := bytes.Repeat([]byte("abcdefgh"), 32<<10)
		for p := range sent {
			go func() {
				n, err := pace.NewWriter(t.Context(), w, model.Priority(p), &sent[p]).Write(body)
				if n != len(body) || err != nil {
					t.Errorf("sent %d: %v", n, err)
				}
			}()
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		for p := range sent {
			if !bytes.Equal(sent[p].Bytes(), body) {
				t.Errorf("%v received %d bytes", model.Priority(p), sent[p].Len())
			}
		}
	})
}

func TestWaitEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := pace.NewWaiter(&fakeLink{}, pace.DefaultFloors())
		ctx, cancel := context.WithTimeout(t.Context(), ms)
		defer cancel()
		if _, err := w.Wait(ctx, model.PriorityUrgent, pace.MaxChunk); !errors.Is(err, pace.ErrWaitCancelled) {
			t.Errorf("got %v, want ErrWaitCancelled", err)
		}
		n, err := w.Wait(t.Context(), model.PriorityBulk, 100)
		if n != 100 || err != nil {
			t.Errorf("next wait got %d, %v", n, err)
		}
	})
}

func BenchmarkRequestAndPoll(b *testing.B) {
	p := pace.NewPacer(&fakeLink{}, pace.DefaultFloors())
	b.ReportAllocs()
	now := epoch
	for b.Loop() {
		now = now.Add(32 * ms)
		p.Request(now, 1, model.PriorityUrgent, pace.MaxChunk)
		p.Poll(now)
	}
}
