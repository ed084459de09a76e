package peer

import (
	"time"

	"github.com/gorilla/websocket"
)

// checksPerHeartbeat is the largest number of checks for a quiet or idle link in one
// Options.Heartbeat.
const checksPerHeartbeat = 2

// write sends queued messages and pings until the link ends.
func (l *link) write() {
	defer l.close()
	timer := time.NewTimer(l.untilQuiet(time.Now()))
	defer timer.Stop()
	for {
		select {
		case <-l.closed:
			return
		case msg := <-l.queue:
			if !l.writeMessage(msg) {
				return
			}
		case now := <-timer.C:
			if !l.maintain(now) {
				return
			}
			timer.Reset(l.untilQuiet(now))
		}
	}
}

// untilQuiet returns the time until the next check: when the link will be quiet unless a
// message arrives. A link in use wakes the process only rarely therefore.
func (l *link) untilQuiet(now time.Time) time.Duration {
	heartbeat := l.mesh.opts.Heartbeat
	heard := time.Unix(0, l.lastHeard.Load())
	return min(max(heard.Add(heartbeat).Sub(now), heartbeat/checksPerHeartbeat), heartbeat)
}

// writeMessage writes one message and reports whether the link still works.
func (l *link) writeMessage(msg *message) bool {
	if msg.call != nil && !l.registerCall(msg) {
		return true
	}
	if l.mesh.opts.Blocked(l.vm) {
		return true
	}
	data, err := encodeEnvelope(msg.env)
	if err != nil || len(data) > MaxMessageBytes {
		l.completeCall(msg.env.ID, result{err: ErrNoLink})
		l.mesh.opts.Logger.Error("message not sent", "peer", l.vm, "kind", msg.env.Kind, "bytes", len(data), "cause", err)
		return true
	}
	l.conn.SetWriteDeadline(time.Now().Add(l.mesh.opts.SilenceAfter))
	if err := l.conn.WriteMessage(websocket.BinaryMessage, data); err != nil {
		return false
	}
	l.lastUsed.Store(time.Now().UnixNano())
	l.mesh.metrics.countSent(msg.env.Kind, l.distance(), FrameBytes(len(data), l.masked()))
	return true
}

// registerCall assigns an ID to a request and stores its call until the reply. It
// reports whether the request must still be sent.
func (l *link) registerCall(msg *message) bool {
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

// maintain pings a quiet link. It reports false if the link is idle or the ping
// fails.
func (l *link) maintain(now time.Time) bool {
	if l.pruneAndCheckIdle(now) {
		l.mesh.metrics.idleLinks.Inc(1)
		return false
	}
	quiet := now.UnixNano()-l.lastHeard.Load() >= int64(l.mesh.opts.Heartbeat)
	if !quiet || l.mesh.opts.Blocked(l.vm) {
		return true
	}
	if err := l.conn.WriteControl(websocket.PingMessage, nil, now.Add(l.mesh.opts.SilenceAfter)); err != nil {
		return false
	}
	l.mesh.metrics.countSent(0, l.distance(), FrameBytes(0, l.masked()))
	return true
}

// pruneAndCheckIdle removes the abandoned calls and reports whether the link is
// idle: unused for Options.IdleAfter and without pending calls.
func (l *link) pruneAndCheckIdle(now time.Time) bool {
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
