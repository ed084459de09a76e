package peer

import (
	"context"
	"net/http"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"
)

// bufferBytes is the size of a connection's read and write buffers.
const bufferBytes = 1 << 12

// maxLinksPerVM bounds the links that one VM may hold open at once.
const maxLinksPerVM = 4

// dialIfDue starts a dial of r unless one is under way, and reports whether a
// dial is under way. The caller holds mu.
func (m *Mesh) dialIfDue(r *remote, now time.Time) bool {
	if r.dialing {
		return true
	}
	if !r.retry.due(now) {
		return false
	}
	r.dialing = true
	ctx, address := m.ctx, r.address
	m.spawn(func() { m.dial(ctx, r.vm, address) })
	return true
}

func (m *Mesh) dial(ctx context.Context, vm model.VMID, address string) {
	m.metrics.dials.Inc(1)
	conn, peer, err := m.connect(ctx, vm, address)
	if err != nil {
		m.dialFailed(vm, address, err)
		return
	}
	m.adopt(newLink(m, peer, conn, m.opts.Self))
}

func (m *Mesh) dialFailed(vm model.VMID, address string, err error) {
	m.metrics.failures.Inc(1)
	m.opts.Logger.Debug("dial failed", "peer", vm, "address", address, "cause", err)
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.remote(vm)
	r.dialing = false
	r.retry.fail(time.Now(), m.rand)
	if r.best() == nil {
		r.failWaiting()
	}
}

// connect opens a connection and exchanges hellos on it.
func (m *Mesh) connect(ctx context.Context, vm model.VMID, address string) (*websocket.Conn, hello, error) {
	if m.opts.Blocked(vm) {
		return nil, hello{}, errors.New("peer: traffic is blocked")
	}
	ctx, cancel := context.WithTimeout(ctx, m.opts.SilenceAfter)
	defer cancel()
	dialer := websocket.Dialer{NetDialContext: m.opts.Dial, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes}
	conn, _, err := dialer.DialContext(ctx, "ws://"+address+Path, nil)
	if err != nil {
		return nil, hello{}, errors.Wrap(err, "peer: dial")
	}
	peer, err := m.greet(conn, m.sendHello, m.receiveHello)
	if err == nil && peer.VM != vm {
		err = errors.Errorf("peer: %s answers at the address of %s", peer.VM, vm)
	}
	if err != nil {
		conn.Close()
		return nil, hello{}, err
	}
	return conn, peer, nil
}

// ServeHTTP accepts a link. It is mounted at Path.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if !m.running() {
		http.Error(w, "peer links are stopped", http.StatusServiceUnavailable)
		return
	}
	upgrader := websocket.Upgrader{ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes}
	conn, err := upgrader.Upgrade(w, req, nil)
	if err != nil {
		return
	}
	peer, err := m.greet(conn, m.receiveHello, m.sendHello)
	if err != nil {
		m.opts.Logger.Debug("link refused", "remote", req.RemoteAddr, "cause", err)
		conn.Close()
		return
	}
	m.adopt(newLink(m, peer, conn, peer.VM))
}

func (m *Mesh) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ctx != nil && m.ctx.Err() == nil
}

// greet runs both halves of the hello exchange within one deadline.
func (m *Mesh) greet(conn *websocket.Conn, steps ...func(*websocket.Conn, *hello) error) (hello, error) {
	deadline := time.Now().Add(m.opts.SilenceAfter)
	conn.SetReadLimit(bufferBytes)
	conn.SetReadDeadline(deadline)
	conn.SetWriteDeadline(deadline)
	var peer hello
	for _, step := range steps {
		if err := step(conn, &peer); err != nil {
			return hello{}, err
		}
	}
	return peer, nil
}

func (m *Mesh) sendHello(conn *websocket.Conn, _ *hello) error {
	data, err := Marshal(hello{Version: protocolVersion, VM: m.opts.Self, Incarnation: m.opts.Incarnation})
	if err != nil {
		return errors.Wrap(err, "peer: encode hello")
	}
	return errors.Wrap(conn.WriteMessage(websocket.BinaryMessage, data), "peer: send hello")
}

func (m *Mesh) receiveHello(conn *websocket.Conn, peer *hello) error {
	_, data, err := conn.ReadMessage()
	if err != nil {
		return errors.Wrap(err, "peer: receive hello")
	}
	*peer, err = decodeHello(data)
	if err != nil {
		return err
	}
	if m.opts.Blocked(peer.VM) {
		return errors.New("peer: traffic is blocked")
	}
	return nil
}

// adopt puts a new link to use. Links of another incarnation of the VM are
// closed, since that process is gone.
func (m *Mesh) adopt(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.remote(l.vm)
	if l.dialler == m.opts.Self {
		r.dialing = false
	}
	if m.ctx.Err() != nil || len(r.links) >= maxLinksPerVM {
		l.close()
		r.failWaiting()
		return
	}
	if r.incarnation != l.incarnation {
		m.replaceProcess(r, l.incarnation)
	}
	r.add(l)
	r.retry.reset()
	for _, msg := range r.waiting {
		l.queue <- msg
	}
	r.waiting = nil
	m.countLinks()
	ctx := m.ctx
	m.spawn(func() { l.read(ctx) })
	m.spawn(l.write)
}

func (m *Mesh) replaceProcess(r *remote, incarnation model.Incarnation) {
	for _, old := range r.links {
		m.metrics.replaced.Inc(1)
		old.close()
	}
	r.links = nil
	r.incarnation = incarnation
}

// forget removes a link that has ended. A message that is pushed to it later
// is failed by the drain that follows.
func (m *Mesh) forget(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remote(l.vm).remove(l)
	m.countLinks()
}

func (m *Mesh) countLinks() {
	count := 0
	for _, r := range m.remotes {
		count += len(r.links)
	}
	m.metrics.links.Update(float64(count))
}
