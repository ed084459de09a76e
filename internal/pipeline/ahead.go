package pipeline

import (
	"context"
	"net/http"
)

// readAhead is the part of a connection's state that concerns requests behind the current
// one. It is guarded by the mutex of the connection.
type readAhead struct {
	// begun reports whether the handler of the current request has been called.
	begun bool
	// eligible reports whether requests may be started behind the current one.
	eligible bool
	// stopped reports whether the next request is one that is not started early.
	stopped bool
	// ended reports whether nothing may be started any more.
	ended bool
	// current is the request being served, and checked whether it may run more than once.
	current *http.Request
	checked bool
	// parsedTo is the offset in the stream up to which requests have been started.
	parsedTo int64
	// reportedAt is the offset of the last stop that was reported, plus one.
	reportedAt int64
	// queue holds the started requests that have not been answered, in order.
	queue []*started
	// held is the number of bytes of responses held for the queue.
	held int
	// ctx is the parent of the contexts of started requests.
	ctx context.Context
}

// canReadAhead reports whether more bytes may be read while a request is served. Before its
// handler is called, it is not known whether it has a body; the bytes are kept until then.
// Bytes that arrive when the handler has returned mostly answer to its response.
func (c *Conn) canReadAhead() bool {
	a := &c.ahead
	if a.begun && (!a.eligible || a.current == nil) || a.stopped || a.ended || c.handler.draining.Load() {
		return false
	}
	if c.buf.len() == maxReadAheadBytes {
		c.report(StopBytes)
		return false
	}
	return true
}

// startAhead starts the next requests that have arrived completely, within the bounds.
func (c *Conn) startAhead() {
	a := &c.ahead
	a.parsedTo = max(a.parsedTo, c.boundary)
	for a.begun && a.eligible && !a.stopped && !a.ended && a.current != nil {
		rest := c.unparsed()
		if len(rest) == 0 {
			return
		}
		var scanner headScanner
		end := scanner.end(rest)
		switch {
		case end < 0 && len(rest) < maxHeadBytes:
			return
		case end < 0 || end > maxHeadBytes:
			c.stop(StopBytes)
			return
		case len(a.queue) >= maxStarted:
			c.report(StopCount)
			return
		case a.held >= maxHeldBytes:
			c.report(StopResponses)
			return
		}
		if !a.checked && !c.handler.opts.MayStart(a.current) {
			c.stop(StopKind)
			return
		}
		a.checked = true
		r, ok := parseHead(rest[:end])
		if !ok {
			c.stop(StopForm)
			return
		}
		if !c.start(r) {
			return
		}
		a.parsedTo += int64(end)
	}
}

// unparsed returns the received bytes behind the started requests. net/http may have the
// first of them already, if the buffer was full before the handler was called.
func (c *Conn) unparsed() []byte {
	skip := c.ahead.parsedTo - c.position
	if skip < 0 {
		return append([]byte{c.handed}, c.buf.bytes()...)
	}
	return c.buf.bytes()[skip:]
}

// start starts a request unless its owner forbids it.
func (c *Conn) start(r *http.Request) bool {
	a := &c.ahead
	if !c.handler.opts.MayStart(r) {
		c.stop(StopKind)
		return false
	}
	// Drain sets draining before it reads pending.
	c.handler.pending.Add(1)
	if c.handler.draining.Load() {
		c.handler.pending.Add(-1)
		c.stop(StopDraining)
		return false
	}
	release, ok := c.hold()
	if !ok {
		c.handler.pending.Add(-1)
		c.stop(StopHeld)
		return false
	}
	if a.ctx == nil {
		a.ctx = context.WithValue(c.base, http.LocalAddrContextKey, c.LocalAddr())
	}
	ctx, cancel := context.WithCancel(a.ctx)
	r.RemoteAddr = c.RemoteAddr().String()
	s := &started{
		conn: c, offset: a.parsedTo, request: r.WithContext(ctx), cancel: cancel, release: release,
		header: http.Header{}, attached: make(chan struct{}), dropped: make(chan struct{}), done: make(chan struct{}),
	}
	a.queue = append(a.queue, s)
	c.handler.opts.OnStart()
	go s.run()
	return true
}

// hold calls the handler's Hold.
func (c *Conn) hold() (release func(), ok bool) {
	if c.handler.opts.Hold == nil {
		return func() {}, true
	}
	return c.handler.opts.Hold(c.base)
}

// stop stops reading ahead until the next request is served.
func (c *Conn) stop(reason string) {
	c.ahead.stopped = true
	c.report(reason)
}

// report reports why no further request is started, once for each position in the stream.
func (c *Conn) report(reason string) {
	if c.ahead.reportedAt != c.ahead.parsedTo+1 {
		c.ahead.reportedAt = c.ahead.parsedTo + 1
		c.handler.opts.OnStop(reason)
	}
}

// takeStarted removes and returns the started request that r is. If r is another one, all
// started requests are cancelled.
func (c *Conn) takeStarted(r *http.Request) *started {
	a := &c.ahead
	if len(a.queue) == 0 {
		return nil
	}
	s := a.queue[0]
	if s.offset != c.headStart || !sameRequest(s.request, r) {
		c.cancelStarted()
		return nil
	}
	a.queue[0] = nil
	a.queue = a.queue[1:]
	if len(a.queue) == 0 {
		a.queue = nil
	}
	c.handler.pending.Add(-1)
	return s
}

// cancelStarted cancels the started requests that have not been answered.
func (c *Conn) cancelStarted() {
	a := &c.ahead
	for _, s := range a.queue {
		c.handler.opts.OnDrop(s.finished())
		s.cancel()
		close(s.dropped)
		a.held -= s.held
		s.held = 0
		c.handler.pending.Add(-1)
		s.release()
	}
	a.queue = nil
}

// reserve takes n bytes of what the connection may hold of responses, if there is room and
// the response may still be sent.
func (c *Conn) reserve(s *started, n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-s.dropped:
		return false
	default:
	}
	if c.ahead.held+n > maxHeldBytes {
		return false
	}
	c.ahead.held += n
	s.held += n
	return true
}

// unreserve returns what s holds, and starts requests that waited for it.
func (c *Conn) unreserve(s *started) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead.held -= s.held
	s.held = 0
	c.startAhead()
}
