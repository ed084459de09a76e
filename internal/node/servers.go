package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"fuchsiaspar/internal/directory"
	"fuchsiaspar/internal/front"
	"fuchsiaspar/internal/intake"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/routereport"
	"fuchsiaspar/platform"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// clientIdleTimeout is how long an idle client connection is kept: longer
	// than any client keeps one.
	clientIdleTimeout = 60 * time.Second
	// headerTimeout bounds the time to read a request header.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of a request header.
	maxHeaderBytes = 64 << 10
	// metricsPath serves the metrics.
	metricsPath = "/metrics"
)

// listeners holds the HTTP servers of an entry VM by listen address. Roles with
// the same address share a server.
type listeners struct {
	byAddress map[string]*http.Server
	front     *http.Server
	traffic   *front.Server
	// frontListener is the listener of the front, once it is open.
	frontListener net.Listener
	guard         *intake.Guard
	// muxes holds the handlers of the addresses other than the front's.
	muxes map[string]*http.ServeMux
	// kinds holds what the connections to an address are accounted as.
	kinds map[string]intake.Listener
}

func newListeners(b *assembly) (*listeners, error) {
	s := &listeners{byAddress: map[string]*http.Server{}, traffic: b.node.front, guard: b.guard, kinds: map[string]intake.Listener{}, muxes: map[string]*http.ServeMux{}}
	addresses := b.settings.Listen
	s.front = newHTTPServer(s.traffic)
	s.add(addresses.Front, s.front, intake.Front)
	s.traffic.Configure(s.front)
	lookups := directory.New(directory.Options{
		Alive: b.node.liveness.Alive, Ready: b.node.Ready, MaxTTL: b.settings.Bounds.MaxTTL,
		Log: b.node.log, Scope: b.metrics.Scope,
	})
	for _, role := range []struct {
		kind          intake.Listener
		address, path string
		handler       http.Handler
	}{
		{intake.Ready, addresses.Ready, platform.PathReady, http.HandlerFunc(b.node.serveReady)},
		{intake.Metrics, addresses.Metrics, metricsPath, b.metrics},
		{intake.Metrics, addresses.Metrics, routereport.Path, &front.RouteExplainer{
			VM: b.settings.Name, Region: b.settings.Region, Regions: b.settings.Regions,
			Snapshot: b.node.state.Current, Age: b.feed.Age, Fleet: b.fleet,
		}},
		{intake.Directory, addresses.Directory, platform.PathResolve, lookups},
		{intake.Peer, addresses.Peer, peer.Path, b.mesh},
		{intake.Peer, addresses.Peer, seedPath, limitConcurrency(&seedHandler{copy: b.copy, liveness: b.node.liveness})},
	} {
		if err := s.handle(role.kind, role.address, role.path, role.handler); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: clientIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// handle registers handler for path on the server of address, unless that is empty.
// The front has its address for itself, since it serves every path.
func (s *listeners) handle(kind intake.Listener, address, path string, handler http.Handler) error {
	if address == "" {
		return nil
	}
	if s.byAddress[address] == nil {
		mux := http.NewServeMux()
		s.add(address, newHTTPServer(s.guard.Handler(intake.WithoutBody(mux))), kind)
		s.muxes[address] = mux
	}
	mux, ok := s.muxes[address]
	if !ok {
		return errors.Errorf("%s is the address of the front and cannot serve %s as well", address, path)
	}
	mux.Handle(path, handler)
	return nil
}

// Start opens all listeners.
func (s *listeners) Start(ctx context.Context) error {
	var config net.ListenConfig
	for address, server := range s.byAddress {
		listener, err := config.Listen(ctx, "tcp", address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		if server == s.front {
			s.frontListener = listener
			listener = s.traffic.Listener(listener)
		}
		go func() {
			// Serve ends when the server is shut down.
			_ = server.Serve(s.guard.Listen(listener, s.kinds[address]))
		}()
	}
	return nil
}

// Stop closes the listeners and waits for the requests in progress.
func (s *listeners) Stop(ctx context.Context) error {
	var group errgroup.Group
	for _, server := range s.byAddress {
		group.Go(func() error {
			if server == s.front {
				s.finishStarted(ctx)
			}
			return server.Shutdown(ctx)
		})
	}
	return group.Wait()
}

// finishStarted accepts no further connections and waits for the requests that were
// started early, since a shutdown closes each connection after its current response.
func (s *listeners) finishStarted(ctx context.Context) {
	if s.frontListener != nil {
		// An error means that it is closed.
		_ = s.frontListener.Close()
	}
	s.traffic.FinishStarted(ctx)
}

// serveReady answers readiness probes.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
