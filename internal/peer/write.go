package peer

import (
	"time"

	"github.com/gorilla/websocket"
)

// checksPerHeartbeat is how often a writer looks at its link in one heartbeat.
const checksPerHeartbeat = 2

// write sends queued messages and pings until the link ends.
func (l *link) write() {
	defer l.close()
	ticker := time.NewTicker(l.mesh.opts.Heartbeat / checksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-l.closed:
			return
		case msg := <-l.queue:
			if !l.writeMessage(msg) {
				return
			}
		case now := <-ticker.C:
			if !l.keep(now) {
				return
			}
		}
	}
}

// writeMessage reports whether the link still works.
func (l *link) writeMessage(msg *message) bool {
	if msg.call != nil && !l.await(msg) {
		return true
	}
	if l.mesh.opts.Blocked(l.vm) {
		return true
	}
	data, err := encodeEnvelope(msg.env)
	if err != nil || len(data) > MaxMessageBytes {
		l.finish(msg.env.ID, result{err: ErrNoLink})
		l.mesh.opts.Logger.Error("message not sent", "peer", l.vm, "kind", msg.env.Kind, "bytes", len(data), "cause", err)
		return true
	}
	l.conn.SetWriteDeadline(time.Now().Add(l.mesh.opts.SilenceAfter))
	if err := l.conn.WriteMessage(websocket.BinaryMessage, data); err != nil {
		return false
	}
	l.lastUsed.Store(time.Now().UnixNano())
	l.mesh.metrics.countSent(msg.env.Kind, FrameBytes(len(data), l.masked()))
	return true
}

// await numbers a request and keeps its call until the reply. It reports
// whether the request is still to be sent.
func (l *link) await(msg *message) bool {
	if msg.call.abandoned.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil {
		msg.fail(ErrLinkLost)
		return false
	}
	l.nextID++
	msg.env.ID = l.nextID
	l.pending[msg.env.ID] = msg.call
	return true
}

// keep pings a quiet link and reports whether the link is still wanted.
func (l *link) keep(now time.Time) bool {
	if l.idle(now) {
		l.mesh.metrics.idle.Inc(1)
		return false
	}
	quiet := now.UnixNano()-l.lastHeard.Load() >= int64(l.mesh.opts.Heartbeat)
	if !quiet || l.mesh.opts.Blocked(l.vm) {
		return true
	}
	if err := l.conn.WriteControl(websocket.PingMessage, nil, now.Add(l.mesh.opts.SilenceAfter)); err != nil {
		return false
	}
	l.mesh.metrics.countSent(0, FrameBytes(0, l.masked()))
	return true
}

// idle also forgets the calls whose callers gave up.
func (l *link) idle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, call := range l.pending {
		if call.abandoned.Load() {
			delete(l.pending, id)
		}
	}
	unused := now.UnixNano()-l.lastUsed.Load() >= int64(l.mesh.opts.IdleAfter)
	return unused && len(l.pending) == 0
}
