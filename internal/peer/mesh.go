package peer

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

// Mesh implements Links over WebSocket. Whichever VM first has a message to send
// dials the link; it is closed when it is silent or idle.
type Mesh struct {
	opts    Options
	metrics *metrics
	slow    *semaphore.Weighted

	mu       sync.Mutex
	rand     *rand.Rand
	handlers map[Kind]handlerEntry
	remotes  map[model.VMID]*remote
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

var _ Links = (*Mesh)(nil)

type handlerEntry struct {
	handle Handler
	slow   bool
}

// New returns a Mesh. It sends nothing before Start.
func New(opts Options) *Mesh {
	opts = opts.withDefaults()
	return &Mesh{
		opts:     opts,
		metrics:  newMetrics(opts.Scope),
		slow:     semaphore.NewWeighted(opts.SlowHandlers),
		rand:     opts.Rand,
		handlers: map[Kind]handlerEntry{},
		remotes:  map[model.VMID]*remote{},
	}
}

// Start enables dialling and accepting links until Stop. Cancelling ctx does not
// stop the Mesh. A second call fails.
func (m *Mesh) Start(ctx context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx != nil {
		return errors.New("peer: mesh was already started")
	}
	m.ctx, m.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return nil
}

// Stop closes every link and waits for the Mesh's goroutines. It fails if ctx ends
// first.
func (m *Mesh) Stop(ctx context.Context) error {
	m.mu.Lock()
	if m.cancel != nil {
		m.cancel()
	}
	for _, r := range m.remotes {
		m.closeLinks(r)
	}
	m.mu.Unlock()
	done := make(chan struct{})
	go func() {
		m.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "peer: stop")
	}
}

// Traffic returns the bytes sent and received since the start.
func (m *Mesh) Traffic() Traffic {
	return Traffic{SentBytes: m.metrics.sent.Load(), ReceivedBytes: m.metrics.received.Load()}
}

// Handle implements Links.
func (m *Mesh) Handle(kind Kind, h Handler) { m.register(kind, handlerEntry{handle: h}) }

// HandleSlow implements Links.
func (m *Mesh) HandleSlow(kind Kind, h Handler) {
	m.register(kind, handlerEntry{handle: h, slow: true})
}

func (m *Mesh) register(kind Kind, entry handlerEntry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[kind] = entry
}

func (m *Mesh) handler(kind Kind) (handlerEntry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, ok := m.handlers[kind]
	return entry, ok
}

// SetAddress implements Links.
func (m *Mesh) SetAddress(vm model.VMID, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.remote(vm)
	if r.address == address {
		return
	}
	r.address = address
	r.retry.reset()
}

// Drop implements Links. The address is kept, so that a later message dials
// again.
func (m *Mesh) Drop(vm model.VMID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.remotes[vm]; ok {
		m.closeLinks(r)
	}
}

// Send implements Links.
func (m *Mesh) Send(to model.VMID, kind Kind, body any) error {
	data, err := Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "peer: encode %s", kind)
	}
	return m.enqueue(to, &message{env: envelope{Type: frameOneWay, Kind: kind, Body: data}})
}

// Call implements Links.
func (m *Mesh) Call(ctx context.Context, to model.VMID, kind Kind, body, reply any) error {
	data, err := Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "peer: encode %s", kind)
	}
	call := newCall()
	msg := &message{env: envelope{Type: frameRequest, Kind: kind, Body: data}, call: call}
	if err := m.enqueue(to, msg); err != nil {
		return err
	}
	select {
	case result := <-call.done:
		return result.decode(reply)
	case <-ctx.Done():
		call.abandon()
		return ctx.Err()
	}
}

// enqueue queues msg on an open link, or until a dial ends.
func (m *Mesh) enqueue(to model.VMID, msg *message) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx == nil || m.ctx.Err() != nil {
		return errors.Wrap(ErrNoLink, "mesh is not running")
	}
	r := m.remote(to)
	if l := r.preferredLink(); l != nil {
		return m.enqueueOn(l, msg)
	}
	if r.address == "" {
		return errors.Wrapf(ErrNoLink, "no address of %s", to)
	}
	if len(r.waiting) >= m.opts.QueueLimit {
		m.metrics.queueFull.Inc(1)
		return errors.Wrapf(ErrNoLink, "queue to %s is full", to)
	}
	if !m.startDial(r, time.Now()) {
		return errors.Wrapf(ErrNoLink, "waiting before the next dial of %s", to)
	}
	r.waiting = append(r.waiting, msg)
	return nil
}

func (m *Mesh) enqueueOn(l *link, msg *message) error {
	select {
	case l.queue <- msg:
		return nil
	default:
		m.metrics.queueFull.Inc(1)
		return errors.Wrapf(ErrNoLink, "queue to %s is full", l.vm)
	}
}

func (m *Mesh) remote(vm model.VMID) *remote {
	r, ok := m.remotes[vm]
	if !ok {
		r = &remote{vm: vm}
		m.remotes[vm] = r
	}
	return r
}

// closeLinks closes the links of r and fails the messages that wait for one.
func (m *Mesh) closeLinks(r *remote) {
	for _, l := range r.links {
		l.close()
	}
	r.links = nil
	r.failWaiting()
}

// spawn runs f on a goroutine that Stop waits for. The caller holds mu, so that no
// goroutine starts while Stop waits.
func (m *Mesh) spawn(f func()) {
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		f()
	}()
}

// result is the reply to a call, or its error.
type result struct {
	body cbor.RawMessage
	err  error
}

func (r result) decode(reply any) error {
	if r.err != nil {
		return r.err
	}
	if reply == nil {
		return nil
	}
	return errors.Wrap(Unmarshal(r.body, reply), "peer: decode reply")
}
