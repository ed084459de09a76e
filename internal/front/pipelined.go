package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"fuchsiaspar/internal/pipeline"
	"fuchsiaspar/platform"
)

// boundLogInterval is the least time between two log lines about bounds of pipelining. One
// client can reach them with every request.
const boundLogInterval = 10 * time.Second

func (s *Server) newPipeline() *pipeline.Handler {
	opts := pipeline.Options{
		Handler:  http.HandlerFunc(s.serveRequest),
		MayStart: s.mayStart,
		OnStart:  s.metrics.startedEarly,
		OnStop:   s.logStop,
		OnDrop:   s.metrics.droppedEarly,
	}
	if s.opts.Guard != nil {
		opts.Handler, opts.Hold = s.opts.Guard.Handler(opts.Handler), s.opts.Guard.Hold
	}
	return pipeline.NewHandler(opts)
}

// Configure prepares server for the connections of Listener.
func (s *Server) Configure(server *http.Server) { s.pipeline.Configure(server) }

// Listener returns a listener on whose connections requests may be started before the
// previous response.
func (s *Server) Listener(l net.Listener) net.Listener { return s.pipeline.Listener(l) }

// FinishStarted waits until the requests that were started before the previous response
// are about to be answered, or ctx ends. No further ones are started. It must be called
// before the shutdown of the http.Server, which closes connections after one response.
func (s *Server) FinishStarted(ctx context.Context) {
	s.DrainConnections()
	s.pipeline.Drain(ctx)
}

// mayStart reports whether a request may run while others of its connection do: it may
// run more than once, and its response will not close the connection.
func (s *Server) mayStart(r *http.Request) bool {
	snapshot := s.opts.Snapshot()
	if s.draining.Load() || snapshot.Config == nil || r.Header.Get(platform.HeaderRequestID) == "" {
		return false
	}
	route := matchRoute(snapshot, r.Host, r.URL.EscapedPath())
	return route != nil && route.Kind.Repeatable()
}

// logStop counts why no further request of a connection is started, and logs bounds.
func (s *Server) logStop(reason string) {
	s.metrics.stoppedEarly(reason)
	switch reason {
	case pipeline.StopCount, pipeline.StopBytes, pipeline.StopResponses:
		if times := s.bounds.add(reason, time.Now()); times > 0 {
			s.opts.Log.Event("bound of pipelined requests reached", "bound", reason, "times", times)
		}
	}
}

// boundLog limits the log lines about bounds that were reached. It is safe for concurrent
// use.
type boundLog struct {
	mu       sync.Mutex
	counts   map[string]int
	loggedAt map[string]time.Time
}

// add counts a bound that was reached. It returns how often it was since the last line
// about it, or zero if it is too early for another one.
func (l *boundLog) add(bound string, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts, l.loggedAt = map[string]int{}, map[string]time.Time{}
	}
	l.counts[bound]++
	if now.Sub(l.loggedAt[bound]) < boundLogInterval {
		return 0
	}
	times := l.counts[bound]
	l.counts[bound], l.loggedAt[bound] = 0, now
	return times
}
