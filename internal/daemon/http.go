package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	callersvc "fuchsiaspar/gen/caller"
	callerhttp "fuchsiaspar/gen/http/caller/server"
	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/entry"
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
)

// httpServer serves all HTTP endpoints of the process on one address.
type httpServer struct {
	address string
	server  *http.Server
	logger  *log.Logger
	// listener accepts the connections. If it is nil, Start binds address.
	listener net.Listener
}

// addHTTPServer registers the HTTP server. It comes before the services that
// talk to peers, so that it starts before them and stops after them.
func (b *builder) addHTTPServer() error {
	b.daemon.server = &httpServer{
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
	return b.register(NameHTTP, b.daemon.server)
}

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
	root.Handle("/", mux)
	root.HandleFunc(entry.RequestPath, b.daemon.entry.ServeRequest)
	root.HandleFunc(entry.RelayPath, b.daemon.entry.ServeRelay)
	root.HandleFunc(backend.HealthPath, b.daemon.entry.ServeHealth)
	root.HandleFunc(backend.AttemptsPath, b.daemon.entry.ServeAttempt)
	root.Handle(peer.Path, b.mesh)
	root.Handle(MetricsPath, b.metrics)
	b.daemon.server.server.Handler = root
	return nil
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
		err := h.server.Serve(h.listener)
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
