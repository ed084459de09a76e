package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"
)

// bufferBytes is the size of a connection's read and write buffers and the limit
// of a hello message.
const bufferBytes = 1 << 12

// maxHandshakeBytes bounds the response to the opening handshake of a WebSocket.
const maxHandshakeBytes = 16 << 10

// errHandshakeTooLarge ends a handshake whose response exceeds maxHandshakeBytes.
var errHandshakeTooLarge = errors.New("peer: handshake too large")

// handshakeConn bounds what is read until the handshake has ended, since the WebSocket
// library keeps a response of any size. It is used by one goroutine until then.
type handshakeConn struct {
	net.Conn
	left  int
	ended bool
}

// Read implements net.Conn.
func (c *handshakeConn) Read(p []byte) (int, error) {
	if c.ended {
		return c.Conn.Read(p)
	}
	if c.left <= 0 {
		return 0, errHandshakeTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// maxLinksPerVM bounds the open links to one VM.
const maxLinksPerVM = 4

// startDial starts to dial r unless a dial is in progress or the backoff has not
// elapsed. It reports whether a dial is in progress. The caller holds mu.
func (m *Mesh) startDial(r *remote, now time.Time) bool {
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
	m.addLink(newLink(m, peer, conn, m.opts.Self))
}

func (m *Mesh) dialFailed(vm model.VMID, address string, err error) {
	m.metrics.dialFailures.Inc(1)
	m.opts.Logger.Debug("dial failed", "peer", vm, "address", address, "cause", err)
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.remote(vm)
	r.dialing = false
	r.retry.fail(time.Now(), m.rand)
	if r.preferredLink() == nil {
		r.failWaiting()
	}
}

// connect opens a connection and exchanges hello messages. It fails if another VM
// than vm responds at the address.
func (m *Mesh) connect(ctx context.Context, vm model.VMID, address string) (*websocket.Conn, hello, error) {
	if m.opts.Blocked(vm) {
		return nil, hello{}, errors.New("peer: traffic is blocked")
	}
	ctx, cancel := context.WithTimeout(ctx, m.opts.SilenceAfter)
	defer cancel()
	handshake := &handshakeConn{left: maxHandshakeBytes}
	dialer := websocket.Dialer{
		NetDialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := m.opts.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			handshake.Conn = conn
			return handshake, nil
		},
		ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
	}
	conn, _, err := dialer.DialContext(ctx, "ws://"+address+Path, nil)
	if err != nil {
		return nil, hello{}, errors.Wrap(err, "peer: dial")
	}
	handshake.ended = true
	peer, err := m.exchangeHello(conn, m.sendHello, m.receiveHello)
	if err == nil && peer.VM != vm {
		err = errors.Errorf("peer: %s answers at the address of %s", peer.VM, vm)
	}
	if err != nil {
		conn.Close()
		return nil, hello{}, err
	}
	return conn, peer, nil
}

// ServeHTTP accepts a link. The caller mounts it at Path.
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
	peer, err := m.exchangeHello(conn, m.receiveHello, m.sendHello)
	if err != nil {
		m.opts.Logger.Debug("link refused", "remote", req.RemoteAddr, "cause", err)
		conn.Close()
		return
	}
	m.addLink(newLink(m, peer, conn, peer.VM))
}

func (m *Mesh) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ctx != nil && m.ctx.Err() == nil
}

// exchangeHello runs both steps of the hello exchange within one deadline.
func (m *Mesh) exchangeHello(conn *websocket.Conn, steps ...func(*websocket.Conn, *hello) error) (hello, error) {
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

// addLink registers a new link and sends the waiting messages on it. Links of
// another incarnation of the VM are closed, since that process has ended.
func (m *Mesh) addLink(l *link) {
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
		m.metrics.replacedLinks.Inc(1)
		old.close()
	}
	r.links = nil
	r.incarnation = incarnation
}

// removeLink removes a link that has ended. A message that was queued on it
// meanwhile is failed by the drain that follows.
func (m *Mesh) removeLink(l *link) {
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
