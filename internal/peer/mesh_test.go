package peer

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
	"go.uber.org/goleak"
)

const (
	kindEcho    Kind = 200
	kindHang    Kind = 201
	kindFail    Kind = 202
	kindOneWay  Kind = 203
	kindUnknown Kind = 204
)

// testLimit bounds the time of a test that hangs.
const testLimit = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// cluster is a group of meshes with a simulated network partition.
type cluster struct {
	t       testing.TB
	mu      sync.Mutex
	blocked map[model.VMID]bool
}

func newCluster(t testing.TB) *cluster {
	return &cluster{t: t, blocked: map[model.VMID]bool{}}
}

func (c *cluster) block(vm model.VMID, blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked[vm] = blocked
}

// isBlocked reports whether traffic between two VMs is blocked.
func (c *cluster) isBlocked(a, b model.VMID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blocked[a] || c.blocked[b]
}

type testNode struct {
	mesh    *Mesh
	address string
	oneWay  chan string
	server  *httptest.Server
	handled atomic.Int64
}

func (c *cluster) add(vm model.VMID, incarnation model.Incarnation, change func(*Options)) *testNode {
	opts := Options{
		Self:         vm,
		Incarnation:  incarnation,
		Heartbeat:    20 * time.Millisecond,
		SilenceAfter: 200 * time.Millisecond,
		Blocked:      func(other model.VMID) bool { return c.isBlocked(vm, other) },
	}
	if change != nil {
		change(&opts)
	}
	n := &testNode{mesh: New(opts), oneWay: make(chan string, 1024)}
	n.mesh.Handle(kindEcho, func(_ context.Context, from model.VMID, body []byte) (any, error) {
		n.handled.Add(1)
		var text string
		err := Unmarshal(body, &text)
		return string(from) + ":" + text, err
	})
	n.mesh.Handle(kindFail, func(context.Context, model.VMID, []byte) (any, error) {
		return nil, errors.New("disk failure")
	})
	n.mesh.Handle(kindOneWay, func(_ context.Context, _ model.VMID, body []byte) (any, error) {
		var text string
		err := Unmarshal(body, &text)
		n.oneWay <- text
		return nil, err
	})
	n.mesh.HandleSlow(kindHang, func(ctx context.Context, _ model.VMID, _ []byte) (any, error) {
		n.handled.Add(1)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	n.server = httptest.NewServer(n.mesh)
	n.address = strings.TrimPrefix(n.server.URL, "http://")
	if err := n.mesh.Start(context.Background()); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { n.stop(c.t) })
	return n
}

func (n *testNode) stop(t testing.TB) {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	if err := n.mesh.Stop(ctx); err != nil {
		t.Error(err)
	}
	n.server.Close()
}

// echo retries a call until it succeeds.
func (n *testNode) echo(t *testing.T, to model.VMID, text string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	for {
		var reply string
		err := n.mesh.Call(ctx, to, kindEcho, text, &reply)
		if err == nil {
			return reply
		}
		if !errors.Is(err, ErrNoLink) && !errors.Is(err, ErrLinkLost) {
			t.Fatalf("call %s: %v", to, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (n *testNode) links() int {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	count := 0
	for _, r := range n.mesh.remotes {
		count += len(r.links)
	}
	return count
}

func pair(t *testing.T) (*cluster, *testNode, *testNode) {
	c := newCluster(t)
	a, b := c.add("a", 1, nil), c.add("b", 2, nil)
	a.mesh.SetAddress("b", b.address)
	b.mesh.SetAddress("a", a.address)
	return c, a, b
}

func TestCallsAndErrors(t *testing.T) {
	_, a, b := pair(t)
	if got := a.echo(t, "b", "hi"); got != "a:hi" {
		t.Errorf("reply %q", got)
	}
	if got := b.echo(t, "a", "ho"); got != "b:ho" {
		t.Errorf("reply over the same link %q", got)
	}
	if a.links() != 1 || b.links() != 1 {
		t.Errorf("links: %d and %d, want 1 and 1", a.links(), b.links())
	}
	for _, c := range []struct {
		to   model.VMID
		kind Kind
		want error
	}{{"b", kindFail, ErrRemote}, {"b", kindUnknown, ErrNoHandler}, {"nobody", kindEcho, ErrNoLink}} {
		if err := a.mesh.Call(t.Context(), c.to, c.kind, "x", nil); !errors.Is(err, c.want) {
			t.Errorf("call of kind %d to %s: %v, want %v", c.kind, c.to, err, c.want)
		}
	}
	if traffic := a.mesh.Traffic(); traffic.SentBytes == 0 || traffic.ReceivedBytes == 0 {
		t.Errorf("traffic not counted: %+v", traffic)
	}
}

func TestSilentLinkEndsPendingCallsAndReconnects(t *testing.T) {
	c, a, b := pair(t)
	a.echo(t, "b", "hi")
	ended := make(chan error, 1)
	go func() { ended <- a.mesh.Call(t.Context(), "b", kindHang, nil, nil) }()
	for b.handled.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	c.block("b", true)
	if err := <-ended; !errors.Is(err, ErrLinkLost) {
		t.Errorf("pending call ended with %v, want %v", err, ErrLinkLost)
	}
	if err := a.mesh.Call(t.Context(), "b", kindEcho, "x", nil); err == nil {
		t.Error("a call passed the partition")
	}
	c.block("b", false)
	if got := a.echo(t, "b", "again"); got != "a:again" {
		t.Errorf("reply %q", got)
	}
}

func TestReplacedProcessTakesOverTheLink(t *testing.T) {
	c, a, old := pair(t)
	a.echo(t, "b", "hi")
	next := c.add("b", 3, nil)
	next.mesh.SetAddress("a", a.address)
	next.echo(t, "a", "new here")
	a.mesh.SetAddress("b", next.address)
	before := old.handled.Load()
	a.echo(t, "b", "who")
	if old.handled.Load() != before || next.handled.Load() != 1 {
		t.Errorf("handled: old %d more, new %d", old.handled.Load()-before, next.handled.Load())
	}
}

func TestWrongProcessAtAddressIsRefused(t *testing.T) {
	_, a, b := pair(t)
	a.mesh.SetAddress("c", b.address)
	if err := a.mesh.Call(t.Context(), "c", kindEcho, "x", nil); !errors.Is(err, ErrNoLink) {
		t.Errorf("call reached another process: %v", err)
	}
}

func TestBothSidesDialAtOnce(t *testing.T) {
	_, a, b := pair(t)
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() { a.echo(t, "b", "from a") })
		wg.Go(func() { b.echo(t, "a", "from b") })
	}
	wg.Wait()
	if got := a.links(); got < 1 || got > 2 {
		t.Errorf("%d links", got)
	}
}

func TestQueueIsBounded(t *testing.T) {
	c := newCluster(t)
	a := c.add("a", 1, func(o *Options) { o.QueueLimit = 4 })
	silent := httptest.NewUnstartedServer(nil)
	defer silent.Close()
	a.mesh.SetAddress("b", silent.Listener.Addr().String())
	accepted := 0
	for range 100 {
		if err := a.mesh.Send("b", kindOneWay, "x"); err == nil {
			accepted++
		}
	}
	if accepted > 4 {
		t.Errorf("%d messages were queued, limit 4", accepted)
	}
}

func TestIdleLinkCloses(t *testing.T) {
	c := newCluster(t)
	idle := func(o *Options) { o.IdleAfter = 60 * time.Millisecond }
	a, b := c.add("a", 1, idle), c.add("b", 2, idle)
	a.mesh.SetAddress("b", b.address)
	a.echo(t, "b", "hi")
	for a.links() > 0 || b.links() > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	a.echo(t, "b", "again")
}

func TestOneWayMessagesKeepTheirOrder(t *testing.T) {
	_, a, b := pair(t)
	a.echo(t, "b", "hi")
	for _, text := range []string{"1", "2", "3"} {
		if err := a.mesh.Send("b", kindOneWay, text); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range []string{"1", "2", "3"} {
		if got := <-b.oneWay; got != want {
			t.Errorf("received %q, want %q", got, want)
		}
	}
}

func FuzzDecodeEnvelope(f *testing.F) {
	seed, err := encodeEnvelope(envelope{Type: frameRequest, ID: 7, Kind: KindProbe})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0x84, 1, 0, 1, 0xf6})
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := decodeEnvelope(data)
		if err != nil {
			return
		}
		again, err := encodeEnvelope(e)
		if err != nil {
			t.Fatalf("decoded but not encoded: %v", err)
		}
		if _, err := decodeEnvelope(again); err != nil {
			t.Fatalf("encoded but not decoded: %v", err)
		}
	})
}

func BenchmarkCall(b *testing.B) {
	c := newCluster(b)
	one, two := c.add("a", 1, nil), c.add("b", 2, nil)
	one.mesh.SetAddress("b", two.address)
	var reply string
	for b.Loop() {
		if err := one.mesh.Call(context.Background(), "b", kindEcho, "x", &reply); err != nil {
			b.Fatal(err)
		}
	}
}
