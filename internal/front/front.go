// Package front is the reverse proxy of an entry VM. It matches a client's
// request to a route, chooses a backend server, retries on another server where
// that is allowed, and forwards the response. It refuses requests without
// queueing them, and reports a request as not run only if no server can have run
// it.
package front

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/accountlimit"
	"fuchsiaspar/internal/allow"
	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/decisions"
	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/intake"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/overload"
	"fuchsiaspar/internal/pick"
	"fuchsiaspar/internal/pipeline"
	"fuchsiaspar/internal/upstream"
	"fuchsiaspar/platform"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// defaultDeadline limits requests for which neither the client nor the route
// sets a time limit.
const defaultDeadline = 30 * time.Second

// responseGrace is how long after its deadline a client may still read the
// response: a buffered one takes about 0.4 s on the narrowest link.
const responseGrace = 2 * time.Second

// Options configures a Server.
type Options struct {
	// Snapshot returns the current configuration and servers. It never returns
	// nil; the Config of the snapshot is nil until a configuration is known.
	Snapshot func() *catalog.Snapshot
	// Age returns an upper bound on the age of the snapshot, for log lines.
	Age func(now time.Time) time.Duration
	// Fleet chooses the backend server of each attempt.
	Fleet *pick.Fleet
	// Client sends requests to backend servers.
	Client *upstream.Client
	// RetryBudget limits the retries of each service.
	RetryBudget *allow.RetryBudget
	// Limits limits the requests of client accounts, nil if there are no limits.
	Limits *accountlimit.Limiter
	// ServerBytes bounds the bodies that are sent to one server concurrently. If it is
	// nil, there is no bound.
	ServerBytes *intake.ServerBytes
	// Guard accounts the requests of clients. If it is nil, they are not accounted.
	Guard *intake.Guard
	Log   *decisions.Log
	Scope tally.Scope
}

// Server is the http.Handler for client requests. It is safe for concurrent use.
type Server struct {
	opts     Options
	metrics  *metrics
	active   atomic.Int64
	draining atomic.Bool
	// stop is nil unless the VM stops as planned.
	stop atomic.Pointer[overload.PlannedStop]
	// waiting ends when a VM that stops no longer waits for servers. giveUp ends it.
	waiting  context.Context
	giveUp   context.CancelFunc
	invalid  invalidLog
	pipeline *pipeline.Handler
	bounds   boundLog
}

// NewServer returns a Server.
func NewServer(opts Options) *Server {
	s := &Server{opts: opts, metrics: newMetrics(opts.Scope)}
	s.waiting, s.giveUp = context.WithCancel(context.Background())
	s.pipeline = s.newPipeline()
	return s
}

// ActiveRequests returns the number of requests in progress, including those that were
// started before the response to the previous one of their connection.
func (s *Server) ActiveRequests() int64 { return s.active.Load() + s.pipeline.Pending() }

// DrainConnections adds "Connection: close" to responses from now on, so that clients
// reconnect, possibly to another VM. Requests are still served, and those that were started
// behind another one are answered.
func (s *Server) DrainConnections() {
	// In this order, nothing is started behind a response that closes its connection.
	s.pipeline.StopStarting()
	s.draining.Store(true)
}

// PlanStop announces when the VM stops. Requests that it could not end are refused, and
// those that are in progress near the end are given up.
func (s *Server) PlanStop(stop overload.PlannedStop) {
	s.stop.Store(&stop)
	time.AfterFunc(time.Until(stop.GiveUp()), s.giveUp)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	s.pipeline.ServeHTTP(w, r)
}

// serveRequest serves one request. It may run before the previous response of the
// connection has been sent.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() && pipeline.MayClose(w, r) {
		w.Header().Set("Connection", "close")
	}
	req := &request{server: s, w: w, r: r, start: time.Now(), snapshot: s.opts.Snapshot()}
	req.serve()
}

// request is the state of one client request.
type request struct {
	server   *Server
	w        http.ResponseWriter
	r        *http.Request
	start    time.Time
	snapshot *catalog.Snapshot

	id    string
	route *catalog.Route
	// account is nil where the configuration has no accounts, or the route needs none.
	account *catalog.Account
	// regions are those in which the request may run.
	regions         catalog.Regions
	service         model.ServiceName
	objectHash      uint64
	deadline        time.Time
	body            body
	forwardedHeader http.Header

	// keepWaiting ends the current attempt's watch on the VM's stop. It reports false if the
	// attempt has been given up.
	keepWaiting func() bool
	// attempts counts the attempts in which the request was sent to a server.
	attempts int
	// tried lists the servers of failed attempts, which are not chosen again.
	tried []model.ServerID
	// mayHaveRun reports whether a server may have run the request.
	mayHaveRun bool
	// shed reports whether the last attempt was refused by a server that reported a
	// free slot.
	shed bool
	// deferred reports whether the last attempt was refused by a server that asked for
	// a pause.
	deferred bool
	// hasToken reports whether the request holds a token of its account's limit, and
	// limitedFor is when the client may come back if it got none.
	hasToken   bool
	limitedFor time.Duration
	// serverBytes is the number of bytes accounted at the server of the current attempt.
	serverBytes int64
	// responseBytes is the number of bytes accounted for the buffered response.
	responseBytes int
	// bytesRefused reports whether the last attempt was refused by that bound.
	bytesRefused bool
	// lastChoice is the server chosen last, for log lines.
	lastChoice pick.Choice
}

// serve validates the request, reads its body and sends it to a server.
func (q *request) serve() {
	q.id = q.r.Header.Get(platform.HeaderRequestID)
	q.setDeadline(defaultDeadline)
	if q.snapshot.Config == nil {
		q.refuse(http.StatusServiceUnavailable, reasonNoConfig)
		return
	}
	if q.id == "" {
		q.refuse(http.StatusBadRequest, reasonNoRequestID)
		return
	}
	if q.route = matchRoute(q.snapshot, q.r.Host, q.r.URL.EscapedPath()); q.route == nil {
		q.refuse(http.StatusNotFound, reasonNoRoute)
		return
	}
	q.setDeadline(q.timeLimit())
	if refused := q.identify(); refused {
		return
	}
	if refused := q.readBody(); refused {
		return
	}
	q.service = q.chooseService()
	q.objectHash = pick.ObjectHash(q.route.Host, q.route.Prefix, q.affinityKey())
	q.regions = allowedRegions(q.route, q.account)
	q.forwardedHeader = forwardHeader(q.r.Header)
	q.setAccountHeaders(q.forwardedHeader)
	q.server.opts.RetryBudget.Deposit(q.service)
	q.tryServers()
}

// setDeadline sets the deadline of the request, until which the client may send its
// body, and shortly after which it must have read the response. A client that
// stalls would hold the request forever.
func (q *request) setDeadline(limit time.Duration) {
	q.deadline = q.start.Add(limit)
	control := http.NewResponseController(q.w)
	err := control.SetWriteDeadline(q.deadline.Add(responseGrace))
	if err == nil && q.r.ContentLength != 0 {
		err = control.SetReadDeadline(q.deadline)
	}
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		// The connection has failed; reading from it or writing to it will, too.
		q.logFailed("connection without deadlines", "cause", err)
	}
}

// matchRoute returns the route for a host and path, or nil. A host that does not match as
// sent is tried without its port.
func matchRoute(snapshot *catalog.Snapshot, host, path string) *catalog.Route {
	if route := snapshot.MatchRoute(host, path); route != nil {
		return route
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		return snapshot.MatchRoute(name, path)
	}
	return nil
}

// timeLimit returns the shorter of the route's timeout and the time that the
// client's deadline header leaves.
func (q *request) timeLimit() time.Duration {
	limit := defaultDeadline
	if q.route.Timeout > 0 {
		limit = q.route.Timeout
	}
	if remaining, ok := platform.ParseDeadline(q.r.Header); ok && remaining < limit {
		limit = remaining
	}
	return limit
}

// chooseService picks one service of the route's traffic split at random, in
// proportion to the weights.
func (q *request) chooseService() model.ServiceName {
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

// affinityKey returns the key by which requests for the same object go to the
// same servers: the value of the object header, or the request id if there is
// none.
func (q *request) affinityKey() string {
	if key := q.r.Header.Get(platform.HeaderObject); key != "" {
		return key
	}
	return q.id
}

// forwardHeader returns the request headers to send to a server. It omits the
// deadline and the expected server process, which upstream sets for each attempt.
func forwardHeader(h http.Header) http.Header {
	out := header.EndToEnd(h)
	for _, name := range []string{platform.HeaderDeadline, platform.HeaderExpectedInstance, "Content-Length", "Host", "Expect"} {
		delete(out, name)
	}
	return out
}
