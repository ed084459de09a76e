// Package front is the path of a request through an entry VM: it finds the
// route, chooses a server, repeats where that is allowed, and hands the whole
// answer on. It refuses at once, and says that a request has not run only when
// that is true.
package front

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/allow"
	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/decisions"
	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/pick"
	"fuchsiaspar/internal/upstream"
	"fuchsiaspar/platform"

	"github.com/uber-go/tally/v4"
)

// defaultDeadline bounds a request that neither its client nor its route
// bounds.
const defaultDeadline = 30 * time.Second

// Options configure a Server.
type Options struct {
	Snapshot func() *catalog.Snapshot
	// Age returns how old the snapshot may be.
	Age         func(now time.Time) time.Duration
	Fleet       *pick.Fleet
	Client      *upstream.Client
	RetryBudget *allow.RetryBudget
	Log         *decisions.Log
	Scope       tally.Scope
}

// Server serves the requests of clients.
type Server struct {
	opts    Options
	metrics *metrics
	active  atomic.Int64
	leaving atomic.Bool
}

// NewServer returns a Server.
func NewServer(opts Options) *Server {
	return &Server{opts: opts, metrics: newMetrics(opts.Scope)}
}

// Active returns the count of requests in progress.
func (s *Server) ActiveRequests() int64 { return s.active.Load() }

// Leave makes every answer ask its client to use another connection.
func (s *Server) DrainConnections() { s.leaving.Store(true) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	req := &request{server: s, w: w, r: r, start: time.Now(), snapshot: s.opts.Snapshot()}
	req.serve()
}

// request is one request of a client on its way.
type request struct {
	server   *Server
	w        http.ResponseWriter
	r        *http.Request
	start    time.Time
	snapshot *catalog.Snapshot

	id       string
	route    *catalog.Route
	service  model.ServiceName
	object   uint64
	deadline time.Time
	body     body
	forward  http.Header

	// attempts counts the servers that got the request.
	attempts int
	// tried lists the servers that failed it.
	tried []model.ServerID
	// maybeRun says that a server may have run it.
	maybeRun bool
	last     pick.Choice
}

func (q *request) serve() {
	q.id = q.r.Header.Get(platform.HeaderRequestID)
	if q.snapshot.Config == nil {
		q.refuse(http.StatusServiceUnavailable, reasonNoConfig)
		return
	}
	if q.id == "" {
		q.refuse(http.StatusBadRequest, reasonNoID)
		return
	}
	if q.route = q.match(); q.route == nil {
		q.refuse(http.StatusNotFound, reasonNoRoute)
		return
	}
	q.deadline = q.start.Add(q.patience())
	if refused := q.readBody(); refused {
		return
	}
	q.service = q.choosePart()
	q.object = pick.ObjectHash(q.route.Host, q.route.Prefix, q.objectName())
	q.forward = forwardHeader(q.r.Header)
	q.server.opts.RetryBudget.Deposit(q.service)
	q.run()
}

func (q *request) match() *catalog.Route {
	path := q.r.URL.EscapedPath()
	if route := q.snapshot.MatchRoute(q.r.Host, path); route != nil {
		return route
	}
	if host, _, err := net.SplitHostPort(q.r.Host); err == nil {
		return q.snapshot.MatchRoute(host, path)
	}
	return nil
}

// patience is the shorter of what the client and the operator allow.
func (q *request) patience() time.Duration {
	patience := defaultDeadline
	if q.route.Timeout > 0 {
		patience = q.route.Timeout
	}
	if left, ok := millisHeader(q.r.Header, platform.HeaderDeadline); ok && left < patience {
		patience = left
	}
	return patience
}

// choosePart draws one service of a split by weight.
func (q *request) choosePart() model.ServiceName {
	parts := q.route.Targets
	total := 0.0
	for _, part := range parts {
		total += part.Weight
	}
	draw := rand.Float64() * total
	for _, part := range parts {
		if draw -= part.Weight; draw < 0 {
			return part.Service
		}
	}
	return parts[len(parts)-1].Service
}

// objectName is what requests for one object share. Without one, requests
// spread by their own id.
func (q *request) objectName() string {
	if name := q.r.Header.Get(platform.HeaderObject); name != "" {
		return name
	}
	return q.id
}

// forwardHeader returns the headers that go on to the server. The exchange
// sets the deadline and the expected process itself.
func forwardHeader(h http.Header) http.Header {
	out := header.EndToEnd(h)
	for _, name := range []string{platform.HeaderDeadline, platform.HeaderExpectedInstance, "Content-Length", "Host", "Expect"} {
		delete(out, name)
	}
	return out
}
