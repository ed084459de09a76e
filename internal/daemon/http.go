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

// MetricsPath is where a daemon serves its metrics.
const MetricsPath = "/metrics"

const (
	// hardHeaderFactor times the limit of a header is where the connection is
	// refused; below that a request with too large a header gets an answer.
	hardHeaderFactor = 4
	// headerTimeout bounds the arrival of a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an unused connection of a caller is kept. It is
	// longer than the idle timeout of relay clients.
	idleTimeout = 2 * time.Minute
)

// httpServer serves everything of one process on one address.
type httpServer struct {
	address string
	server  *http.Server
	logger  *log.Logger
	// bound is the listener to serve; nil binds address.
	bound net.Listener
}

// listener registers the HTTP server first, so that it starts before the
// services that talk to peers and stops after them.
func (b *assembly) listener() error {
	b.daemon.server = &httpServer{
		address: b.settings.VM.Listen,
		bound:   b.deps.Listener,
		logger:  b.deps.Logger.WithPrefix("http"),
		server: &http.Server{
			MaxHeaderBytes:    hardHeaderFactor * b.settings.Limits.MaxHeaderBytes,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			ErrorLog:          b.deps.Logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
		},
	}
	return b.add(NameHTTP, b.daemon.server)
}

// routes gives the HTTP server its handlers.
func (b *assembly) routes() error {
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

// Start binds the address and serves it.
func (h *httpServer) Start(ctx context.Context) error {
	if err := h.bind(ctx); err != nil {
		return err
	}
	go func() {
		err := h.server.Serve(h.bound)
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			h.logger.Error("server ended", "err", err)
		}
	}()
	return nil
}

func (h *httpServer) bind(ctx context.Context) error {
	if h.bound != nil {
		return nil
	}
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", h.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", h.address)
	}
	h.bound = l
	return nil
}

// Stop lets requests in flight finish and closes the address.
func (h *httpServer) Stop(ctx context.Context) error {
	err := h.server.Shutdown(ctx)
	if err == nil {
		return nil
	}
	_ = h.server.Close()
	return errors.Wrap(err, "stop serving")
}

// close ends all connections at once.
func (h *httpServer) close() { _ = h.server.Close() }
