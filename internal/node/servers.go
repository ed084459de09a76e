package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"fuchsiaspar/internal/directory"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/platform"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// clientIdle is how long an unused connection of a client is kept: longer
	// than any client keeps one.
	clientIdle = 60 * time.Second
	// headerTimeout bounds how long a client takes to send a head.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a head.
	maxHeaderBytes = 64 << 10
	// metricsPath serves metrics.
	metricsPath = "/metrics"
)

// servers are the listeners of an entry VM. Roles that share an address share
// a listener.
type servers struct {
	listen map[string]*http.Server
	front  *http.Server
}

func newServers(b *assembly) *servers {
	s := &servers{listen: map[string]*http.Server{}}
	addresses := b.settings.Listen
	s.front = newHTTPServer(b.node.front)
	s.listen[addresses.Front] = s.front
	s.handle(addresses.Ready, platform.PathReady, http.HandlerFunc(b.node.serveReady))
	if addresses.Metrics != "" {
		s.handle(addresses.Metrics, metricsPath, b.metrics)
	}
	s.handle(addresses.Directory, platform.PathResolve, directory.New(directory.Options{
		Alive: b.node.live.Alive, Ready: b.node.Ready, MaxTTL: b.settings.Bounds.MaxTTL,
		Log: b.node.log, Scope: b.metrics.Scope,
	}))
	s.handle(addresses.Peer, peer.Path, b.mesh)
	s.handle(addresses.Peer, seedPath, &seedHandler{copy: b.copy, live: b.node.live})
	return s
}

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: clientIdle, MaxHeaderBytes: maxHeaderBytes,
	}
}

func (s *servers) handle(address, path string, handler http.Handler) {
	server, ok := s.listen[address]
	if !ok {
		server = newHTTPServer(http.NewServeMux())
		s.listen[address] = server
	}
	server.Handler.(*http.ServeMux).Handle(path, handler)
}

// Start opens every listener.
func (s *servers) Start(ctx context.Context) error {
	var config net.ListenConfig
	for address, server := range s.listen {
		listener, err := config.Listen(ctx, "tcp", address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		go func() {
			// Serve ends when the server is shut down.
			_ = server.Serve(listener)
		}()
	}
	return nil
}

// Stop closes the listeners and waits for requests in progress.
func (s *servers) Stop(ctx context.Context) error {
	var group errgroup.Group
	for _, server := range s.listen {
		group.Go(func() error { return server.Shutdown(ctx) })
	}
	return group.Wait()
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
