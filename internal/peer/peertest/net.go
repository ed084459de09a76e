// Package peertest provides an in-memory implementation of peer.Links for tests.
// Messages are encoded as CBOR, as on a real link. A seed determines which
// messages are lost and in which order queued ones arrive, so a test that uses a
// single goroutine is reproducible.
package peertest

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"

	"github.com/pkg/errors"
)

// Net is a simulated network of endpoints in one process.
type Net struct {
	mu          sync.Mutex
	rng         *rand.Rand
	endpoints   map[model.VMID]*Endpoint
	queue       []message
	loss        float64
	delay       time.Duration
	partitioned func(a, b model.VMID) bool
}

type message struct {
	from, to model.VMID
	kind     peer.Kind
	body     []byte
}

// New returns a Net without faults. seed determines losses and the order of
// delivery.
func New(seed int64) *Net {
	return &Net{
		rng:         rand.New(rand.NewSource(seed)),
		endpoints:   map[model.VMID]*Endpoint{},
		partitioned: func(a, b model.VMID) bool { return false },
	}
}

// Join returns a new endpoint of vm. It replaces an earlier endpoint of the VM, as
// a restarted process does.
func (n *Net) Join(vm model.VMID) *Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := &Endpoint{net: n, vm: vm, handlers: map[peer.Kind]peer.Handler{}}
	n.endpoints[vm] = e
	return e
}

// Leave removes the endpoint of vm, as a crash of its process does.
func (n *Net) Leave(vm model.VMID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.endpoints, vm)
}

// SetLoss sets the probability that a message is lost, from 0 to 1. It applies to a
// call and to its reply separately.
func (n *Net) SetLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = share
}

// SetDelay sets the delay of each direction of a call. The caller sleeps, so tests
// use it within a testing/synctest bubble.
func (n *Net) SetDelay(delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// Partition drops the messages between two VMs for which cut returns true in
// either order. Nil removes the partition.
func (n *Net) Partition(cut func(a, b model.VMID) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut == nil {
		cut = func(a, b model.VMID) bool { return false }
	}
	n.partitioned = cut
}

// Isolate partitions the given VMs from all others, but not from each other.
func (n *Net) Isolate(vms ...model.VMID) {
	inside := map[model.VMID]bool{}
	for _, vm := range vms {
		inside[vm] = true
	}
	n.Partition(func(a, b model.VMID) bool { return inside[a] != inside[b] })
}

// Deliver delivers the queued one-way messages, including those that handlers
// queue meanwhile, and returns the number that were handled without an error.
// Messages from one sender to one receiver keep their order; the seed determines
// the order otherwise.
func (n *Net) Deliver() int {
	delivered := 0
	for {
		m, ok := n.next()
		if !ok {
			return delivered
		}
		if _, err := n.handle(context.Background(), m); err == nil {
			delivered++
		}
	}
}

// next removes the first queued message of a randomly chosen pair of VMs.
func (n *Net) next() (message, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.queue) == 0 {
		return message{}, false
	}
	chosen := n.queue[n.rng.Intn(len(n.queue))]
	for i, m := range n.queue {
		if m.from == chosen.from && m.to == chosen.to {
			n.queue = append(n.queue[:i], n.queue[i+1:]...)
			return m, true
		}
	}
	return message{}, false
}

// route returns the receiver of a message, or an error if a fault drops it.
func (n *Net) route(from, to model.VMID) (*Endpoint, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	target, ok := n.endpoints[to]
	if !ok || n.partitioned(from, to) || n.partitioned(to, from) {
		return nil, peer.ErrNoLink
	}
	if n.rng.Float64() < n.loss {
		return nil, peer.ErrLinkLost
	}
	return target, nil
}

func (n *Net) handle(ctx context.Context, m message) (any, error) {
	target, err := n.route(m.from, m.to)
	if err != nil {
		return nil, err
	}
	h, ok := target.handler(m.kind)
	if !ok {
		return nil, peer.ErrNoHandler
	}
	return h(ctx, m.from, m.body)
}

// sleep waits for the delay of one message or until ctx ends.
func (n *Net) sleep(ctx context.Context) error {
	n.mu.Lock()
	delay := n.delay
	n.mu.Unlock()
	if delay == 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Endpoint is the connection of one VM to a Net. It implements peer.Links.
type Endpoint struct {
	net      *Net
	vm       model.VMID
	mu       sync.Mutex
	handlers map[peer.Kind]peer.Handler
}

var _ peer.Links = (*Endpoint)(nil)

// Handle implements peer.Links.
func (e *Endpoint) Handle(kind peer.Kind, h peer.Handler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handlers[kind] = h
}

// HandleSlow implements peer.Links.
func (e *Endpoint) HandleSlow(kind peer.Kind, h peer.Handler) { e.Handle(kind, h) }

func (e *Endpoint) handler(kind peer.Kind) (peer.Handler, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h, ok := e.handlers[kind]
	return h, ok
}

// Send implements peer.Links. The message is queued until Net.Deliver.
func (e *Endpoint) Send(to model.VMID, kind peer.Kind, body any) error {
	data, err := peer.Marshal(body)
	if err != nil {
		return err
	}
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	e.net.queue = append(e.net.queue, message{from: e.vm, to: to, kind: kind, body: data})
	return nil
}

// Call implements peer.Links. The handler runs on the calling goroutine.
func (e *Endpoint) Call(ctx context.Context, to model.VMID, kind peer.Kind, body, reply any) error {
	data, err := peer.Marshal(body)
	if err != nil {
		return err
	}
	if err := e.net.sleep(ctx); err != nil {
		return err
	}
	answer, err := e.net.handle(ctx, message{from: e.vm, to: to, kind: kind, body: data})
	if err != nil {
		return wrapHandlerError(err)
	}
	if err := e.net.sleep(ctx); err != nil {
		return err
	}
	if _, err := e.net.route(to, e.vm); err != nil {
		return peer.ErrLinkLost
	}
	return decodeReply(answer, reply)
}

// wrapHandlerError returns errors of links unchanged and wraps errors of handlers
// in peer.ErrRemote.
func wrapHandlerError(err error) error {
	for _, known := range []error{peer.ErrNoLink, peer.ErrLinkLost, peer.ErrNoHandler} {
		if errors.Is(err, known) {
			return err
		}
	}
	return errors.Wrap(peer.ErrRemote, err.Error())
}

func decodeReply(answer, reply any) error {
	if reply == nil {
		return nil
	}
	data, err := peer.Marshal(answer)
	if err != nil {
		return errors.Wrap(peer.ErrRemote, err.Error())
	}
	return peer.Unmarshal(data, reply)
}

// SetAddress implements peer.Links. It does nothing: endpoints are found by VM.
func (e *Endpoint) SetAddress(model.VMID, string) {}

// Drop implements peer.Links. It does nothing.
func (e *Endpoint) Drop(model.VMID) {}
