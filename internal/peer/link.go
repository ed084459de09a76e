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

// link is one WebSocket connection to one process.
type link struct {
	mesh        *Mesh
	vm          model.VMID
	incarnation model.Incarnation
	conn        *websocket.Conn
	// dialler is the VM that opened the connection.
	dialler model.VMID
	number  uint64
	queue   chan *message
	closed  chan struct{}
	once    sync.Once

	lastHeard atomic.Int64
	lastUsed  atomic.Int64

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]*call
}

var linkNumbers atomic.Uint64

func newLink(m *Mesh, peer hello, conn *websocket.Conn, dialler model.VMID) *link {
	l := &link{
		mesh:        m,
		vm:          peer.VM,
		incarnation: peer.Incarnation,
		conn:        conn,
		dialler:     dialler,
		number:      linkNumbers.Add(1),
		queue:       make(chan *message, m.opts.QueueLimit),
		closed:      make(chan struct{}),
		pending:     map[uint64]*call{},
	}
	l.lastUsed.Store(time.Now().UnixNano())
	return l
}

// preferredTo orders two links to one VM the same way on both sides.
func (l *link) preferredTo(other *link) bool {
	if l.dialler != other.dialler {
		return l.dialler < other.dialler
	}
	return l.number > other.number
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.closed)
		l.conn.Close()
	})
}

// heard extends the time until the link counts as silent. Traffic that the
// partition hook drops does not count.
func (l *link) heard() bool {
	if l.mesh.opts.Blocked(l.vm) {
		return false
	}
	now := time.Now()
	l.lastHeard.Store(now.UnixNano())
	l.conn.SetReadDeadline(now.Add(l.mesh.opts.SilenceAfter))
	return true
}

func (l *link) masked() bool { return l.dialler == l.mesh.opts.Self }

// read handles messages until the link ends.
func (l *link) read(ctx context.Context) {
	defer l.end()
	l.conn.SetReadLimit(MaxMessageBytes)
	l.conn.SetPongHandler(func(string) error { l.heard(); return nil })
	l.conn.SetPingHandler(l.pong)
	l.heard()
	for {
		_, data, err := l.conn.ReadMessage()
		if err != nil {
			l.noteReadError(err)
			return
		}
		if !l.heard() {
			continue
		}
		env, err := decodeEnvelope(data)
		if err != nil {
			l.mesh.opts.Logger.Warn("link closed", "peer", l.vm, "cause", err)
			return
		}
		l.mesh.metrics.countReceived(env.Kind, FrameBytes(len(data), !l.masked()))
		l.lastUsed.Store(time.Now().UnixNano())
		l.handle(ctx, env)
	}
}

func (l *link) noteReadError(err error) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		l.mesh.metrics.silent.Inc(1)
		l.mesh.opts.Logger.Info("link silent", "peer", l.vm, "silence", l.mesh.opts.SilenceAfter)
	}
}

func (l *link) pong(data string) error {
	if !l.heard() {
		return nil
	}
	deadline := time.Now().Add(l.mesh.opts.SilenceAfter)
	if err := l.conn.WriteControl(websocket.PongMessage, []byte(data), deadline); err != nil {
		return nil
	}
	l.mesh.metrics.countSent(0, FrameBytes(len(data), l.masked()))
	return nil
}

// handle runs or answers one received envelope.
func (l *link) handle(ctx context.Context, env envelope) {
	switch env.Type {
	case frameOneWay, frameRequest:
		l.serve(ctx, env)
	case frameReply:
		l.finish(env.ID, result{body: env.Body})
	case frameNoHandler:
		l.finish(env.ID, result{err: ErrNoHandler})
	case frameFailure:
		l.finish(env.ID, result{err: remoteError(env)})
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
		l.run(ctx, entry.handle, env)
		return
	}
	if !l.mesh.slow.TryAcquire(1) {
		l.mesh.metrics.busy.Inc(1)
		l.replyError(env, errors.New("too many handlers are running"))
		return
	}
	l.mesh.wg.Add(1)
	go func() {
		defer l.mesh.wg.Done()
		defer l.mesh.slow.Release(1)
		l.run(ctx, entry.handle, env)
	}()
}

func (l *link) run(ctx context.Context, h Handler, env envelope) {
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

// reply answers a request on its own link. A reply that finds the queue full
// closes the link, so that the caller does not wait in vain.
func (l *link) reply(to envelope, answer envelope) {
	if to.Type != frameRequest {
		return
	}
	answer.ID = to.ID
	select {
	case l.queue <- &message{env: answer}:
	default:
		l.mesh.metrics.full.Inc(1)
		l.close()
	}
}

func (l *link) finish(id uint64, r result) {
	l.mu.Lock()
	call, ok := l.pending[id]
	delete(l.pending, id)
	l.mu.Unlock()
	if ok {
		call.finish(r)
	}
}

// end fails the calls of a link that is no more.
func (l *link) end() {
	l.close()
	l.mesh.forget(l)
	l.mu.Lock()
	pending := l.pending
	l.pending = nil
	l.mu.Unlock()
	for _, call := range pending {
		call.finish(result{err: ErrLinkLost})
	}
	l.drain()
}

// drain fails the messages that were queued and not written.
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
