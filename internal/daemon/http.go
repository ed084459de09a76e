package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	callersvc "fuchsiaspar/gen/caller"
	callerhttp "fuchsiaspar/gen/http/caller/server"
	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/entry"
	"fuchsiaspar/internal/intake"
	"fuchsiaspar/internal/operator"
	"fuchsiaspar/internal/peer"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	goahttp "goa.design/goa/v3/http"
)

// MetricsPath is the HTTP path of the daemon's Prometheus metrics.
const MetricsPath = "/metrics"

const (
	// hardHeaderLimitFactor scales the configured header limit to the limit that
	// net/http enforces. Between the two limits the entry server itself refuses
	// the request, with an outcome and a reason.
	hardHeaderLimitFactor = 4
	// headerTimeout bounds reading the header of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long idle connections of callers are kept open. It
	// exceeds the idle timeout of relay clients, so that the client is the side
	// that closes an idle relay connection.
	idleTimeout = 2 * time.Minute
	// heapMemoryShare is the fraction of the VM's memory that is set as the soft memory
	// limit of the Go runtime, if the memory is known.
	heapMemoryShare = 0.6
	// controlBodyTime is the time in which the body of a request must arrive that is not
	// forwarded to a server.
	controlBodyTime = 30 * time.Second
)

// NameIntake is the name under which the guard of the listener is registered.
const NameIntake = "http.intake"

// httpServer serves all HTTP endpoints of the process on one address.
type httpServer struct {
	address string
	server  *http.Server
	logger  *log.Logger
	guard   *intake.Guard
	// listener accepts the connections. If it is nil, Start binds address.
	listener net.Listener
}

// addHTTPServer registers the HTTP server. It comes before the services that
// talk to peers, so that it starts before them and stops after them.
func (b *builder) addHTTPServer() error {
	limits := b.settings.Limits
	guard := intake.NewGuard(intake.NewLimits(limits.MemoryMB, intake.UsableDescriptors(limits.MaxDescriptors)),
		guardLog{b.deps.Logger.WithPrefix("intake")}, b.metrics.Scope)
	guard.SetOperator(intake.Operator{HeaderBytes: limits.MaxHeaderBytes})
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(limits.MemoryMB) * heapMemoryShare * (1 << 20)))
	}
	if err := b.register(NameIntake, guard); err != nil {
		return err
	}
	b.daemon.server = &httpServer{
		guard:    guard,
		address:  b.settings.VM.Listen,
		listener: b.deps.Listener,
		logger:   b.deps.Logger.WithPrefix("http"),
		server: &http.Server{
			MaxHeaderBytes:    hardHeaderLimitFactor * b.settings.Limits.MaxHeaderBytes,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			ErrorLog:          b.deps.Logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
		},
	}
	guard.Configure(b.daemon.server.server)
	return b.register(NameHTTP, b.daemon.server)
}

// guardLog logs the decisions about clients.
type guardLog struct{ *log.Logger }

// Event implements intake.Log.
func (l guardLog) Event(message string, fields ...any) { l.Info(message, fields...) }

// mountRoutes installs the handlers of the HTTP server.
func (b *builder) mountRoutes() error {
	mux := goahttp.NewMuxer()
	mountCaller(mux, b.daemon.entry)
	operator.Mount(mux, operator.New(operator.Deps{
		Self:    b.settings.VM.Name,
		Config:  b.config,
		Status:  b.fleet,
		Drains:  b.fleet,
		Explain: b.fleet,
		Lookup:  b.fleet,
	}))
	root := http.NewServeMux()
	root.Handle("/", accountBody(mux))
	root.HandleFunc(entry.RequestPath, b.daemon.entry.ServeRequest)
	root.HandleFunc(entry.RelayPath, b.daemon.entry.ServeRelay)
	root.Handle(backend.HealthPath, intake.WithoutBody(http.HandlerFunc(b.daemon.entry.ServeHealth)))
	root.Handle(backend.AttemptsPath, intake.WithoutBody(http.HandlerFunc(b.daemon.entry.ServeAttempt)))
	root.Handle(peer.Path, b.mesh)
	root.Handle(MetricsPath, intake.WithoutBody(b.metrics))
	b.daemon.server.server.Handler = b.daemon.server.guard.Handler(root)
	return nil
}

// accountBody returns a handler that accounts the bodies of control requests as they
// arrive, since inner keeps what it reads of them.
func accountBody(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			// If this fails, so does reading.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(controlBodyTime))
			r.Body = &accountedBody{ReadCloser: r.Body, client: intake.FromContext(r.Context()), control: http.NewResponseController(w)}
		}
		inner.ServeHTTP(w, r)
	})
}

type accountedBody struct {
	io.ReadCloser
	client  *intake.Conn
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *accountedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		// net/http goes on reading to notice when the client disconnects, and would take a
		// passed deadline for that.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	if n > 0 && !b.client.Reserve(n) {
		return 0, intake.ErrNoMemory
	}
	return n, err
}

func mountCaller(mux goahttp.Muxer, s *entry.Server) {
	endpoints := callersvc.NewEndpoints(s.CallerAPI())
	server := callerhttp.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
	callerhttp.Mount(mux, server)
}

// Start binds the address and serves connections in the background. It fails
// if the address can't be bound.
func (h *httpServer) Start(ctx context.Context) error {
	if err := h.bind(ctx); err != nil {
		return err
	}
	go func() {
		err := h.server.Serve(h.guard.Listen(h.listener, intake.Front))
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			h.logger.Error("HTTP server failed", "err", err)
		}
	}()
	return nil
}

func (h *httpServer) bind(ctx context.Context) error {
	if h.listener != nil {
		return nil
	}
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", h.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", h.address)
	}
	h.listener = l
	return nil
}

// Stop closes the listener and waits for requests in flight. When ctx ends
// first, it closes the remaining connections and returns an error.
func (h *httpServer) Stop(ctx context.Context) error {
	err := h.server.Shutdown(ctx)
	if err == nil {
		return nil
	}
	_ = h.server.Close()
	return errors.Wrap(err, "stop serving")
}

// close immediately closes the listener and all connections.
func (h *httpServer) close() { _ = h.server.Close() }
