package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"
)

// link is a WebSocket connection to one process of another VM.
type link struct {
	mesh        *Mesh
	vm          model.VMID
	incarnation model.Incarnation
	conn        *websocket.Conn
	// dialler is the VM that opened the connection.
	dialler   model.VMID
	sequence  uint64
	queue     chan *message
	closed    chan struct{}
	closeOnce sync.Once

	lastHeard atomic.Int64
	lastUsed  atomic.Int64

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]*call
}

var linkSequence atomic.Uint64

func newLink(m *Mesh, peer hello, conn *websocket.Conn, dialler model.VMID) *link {
	l := &link{
		mesh:        m,
		vm:          peer.VM,
		incarnation: peer.Incarnation,
		conn:        conn,
		dialler:     dialler,
		sequence:    linkSequence.Add(1),
		queue:       make(chan *message, m.opts.QueueLimit),
		closed:      make(chan struct{}),
		pending:     map[uint64]*call{},
	}
	l.lastUsed.Store(time.Now().UnixNano())
	return l
}

// preferredOver reports whether l is preferred over another link to the same VM.
// Links that different VMs dialled compare the same way on both sides.
func (l *link) preferredOver(other *link) bool {
	if l.dialler != other.dialler {
		return l.dialler < other.dialler
	}
	return l.sequence > other.sequence
}

func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.conn.Close()
	})
}

// extendReadDeadline restarts the time until the link counts as silent and reports
// true. It reports false for traffic that Options.Blocked drops.
func (l *link) extendReadDeadline() bool {
	if l.mesh.opts.Blocked(l.vm) {
		return false
	}
	now := time.Now()
	l.lastHeard.Store(now.UnixNano())
	l.conn.SetReadDeadline(now.Add(l.mesh.opts.SilenceAfter))
	return true
}

// distance returns how far the other VM is. Its record may become known or change while
// the link is open.
func (l *link) distance() Distance { return l.mesh.opts.Distance(l.vm) }

// masked reports whether frames sent on the link are masked.
func (l *link) masked() bool { return l.dialler == l.mesh.opts.Self }

// read receives and handles messages until the link ends.
func (l *link) read(ctx context.Context) {
	defer l.terminate()
	l.conn.SetReadLimit(MaxMessageBytes)
	l.conn.SetPongHandler(func(string) error { l.extendReadDeadline(); return nil })
	l.conn.SetPingHandler(l.pong)
	l.extendReadDeadline()
	for {
		_, data, err := l.conn.ReadMessage()
		if err != nil {
			l.recordReadError(err)
			return
		}
		if !l.extendReadDeadline() {
			continue
		}
		env, err := decodeEnvelope(data)
		if err != nil {
			l.mesh.opts.Logger.Warn("link closed", "peer", l.vm, "cause", err)
			return
		}
		l.mesh.metrics.countReceived(env.Kind, l.distance(), FrameBytes(len(data), !l.masked()))
		l.lastUsed.Store(time.Now().UnixNano())
		l.handle(ctx, env)
	}
}

func (l *link) recordReadError(err error) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		l.mesh.metrics.silentLinks.Inc(1)
		l.mesh.opts.Logger.Info("link silent", "peer", l.vm, "silence", l.mesh.opts.SilenceAfter)
	}
}

func (l *link) pong(data string) error {
	if !l.extendReadDeadline() {
		return nil
	}
	deadline := time.Now().Add(l.mesh.opts.SilenceAfter)
	if err := l.conn.WriteControl(websocket.PongMessage, []byte(data), deadline); err != nil {
		return nil
	}
	l.mesh.metrics.countSent(0, l.distance(), FrameBytes(len(data), l.masked()))
	return nil
}

// handle processes one received envelope.
func (l *link) handle(ctx context.Context, env envelope) {
	switch env.Type {
	case frameOneWay, frameRequest:
		l.serve(ctx, env)
	case frameReply:
		l.completeCall(env.ID, result{body: env.Body})
	case frameNoHandler:
		l.completeCall(env.ID, result{err: ErrNoHandler})
	case frameFailure:
		l.completeCall(env.ID, result{err: remoteError(env)})
	}
}

func remoteError(env envelope) error {
	var text string
	if err := Unmarshal(env.Body, &text); err != nil {
		return ErrRemote
	}
	return errors.Wrap(ErrRemote, text)
}

func (l *link) serve(ctx context.Context, env envelope) {
	entry, ok := l.mesh.handler(env.Kind)
	if !ok {
		l.reply(env, envelope{Type: frameNoHandler})
		return
	}
	if !entry.slow {
		l.runHandler(ctx, entry.handle, env)
		return
	}
	if !l.mesh.slow.TryAcquire(1) {
		l.mesh.metrics.slowHandlersBusy.Inc(1)
		l.replyError(env, errors.New("too many handlers are running"))
		return
	}
	l.mesh.wg.Add(1)
	go func() {
		defer l.mesh.wg.Done()
		defer l.mesh.slow.Release(1)
		l.runHandler(ctx, entry.handle, env)
	}()
}

func (l *link) runHandler(ctx context.Context, h Handler, env envelope) {
	answer, err := h(ctx, l.vm, env.Body)
	if env.Type != frameRequest {
		return
	}
	if err != nil {
		l.replyError(env, err)
		return
	}
	body, err := Marshal(answer)
	if err != nil {
		l.replyError(env, err)
		return
	}
	l.reply(env, envelope{Type: frameReply, Body: body})
}

func (l *link) replyError(to envelope, cause error) {
	body, err := Marshal(cause.Error())
	if err != nil {
		body = nil
	}
	l.reply(to, envelope{Type: frameFailure, Body: body})
}

// reply sends a reply on the link of its request. If the queue is full, it closes
// the link, so that the caller does not wait for a reply that never comes.
func (l *link) reply(to envelope, answer envelope) {
	if to.Type != frameRequest {
		return
	}
	answer.ID = to.ID
	select {
	case l.queue <- &message{env: answer}:
	default:
		l.mesh.metrics.queueFull.Inc(1)
		l.close()
	}
}

func (l *link) completeCall(id uint64, r result) {
	l.mu.Lock()
	call, ok := l.pending[id]
	delete(l.pending, id)
	l.mu.Unlock()
	if ok {
		call.complete(r)
	}
}

// terminate closes the link and fails its pending calls and queued messages.
func (l *link) terminate() {
	l.close()
	l.mesh.removeLink(l)
	l.mu.Lock()
	pending := l.pending
	l.pending = nil
	l.mu.Unlock()
	for _, call := range pending {
		call.complete(result{err: ErrLinkLost})
	}
	l.drain()
}

// drain fails the messages that are queued and not yet written.
func (l *link) drain() {
	for {
		select {
		case msg := <-l.queue:
			msg.fail(ErrLinkLost)
		default:
			return
		}
	}
}
