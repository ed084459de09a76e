package demo

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fuchsiaspar/internal/entry"
	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

const (
	// baselineMaxAttempts is the number of attempts that the baseline makes for
	// one request.
	baselineMaxAttempts = 3
	// baselineMaxConns limits the connections, open and idle, from one baseline
	// proxy to one backend server.
	baselineMaxConns = 100
)

// baselineProxy serves the caller API with the policy that the demo compares
// against: it picks a random backend server, has no queue of its own and retries
// without a retry budget.
type baselineProxy struct {
	fleet  *fleet
	client *http.Client
	server *http.Server
}

// startBaseline starts a baseline proxy on every entry VM.
func (f *fleet) startBaseline() error {
	for _, vm := range f.vmIDs {
		e := f.entries[vm]
		listener, err := e.listener()
		if err != nil {
			return errors.Wrap(err, "start baseline")
		}
		proxy := &baselineProxy{fleet: f, client: &http.Client{Transport: &http.Transport{
			DialContext:         f.net.dialer(e.slot.Zone),
			MaxConnsPerHost:     baselineMaxConns,
			MaxIdleConnsPerHost: baselineMaxConns,
			DisableCompression:  true,
		}}}
		proxy.server = &http.Server{Handler: proxy}
		go func() { _ = proxy.server.Serve(listener) }()
		e.process, e.running = proxy, true
	}
	return nil
}

// Stop shuts the proxy down once the requests in flight have ended.
func (b *baselineProxy) Stop(ctx context.Context) error { return b.server.Shutdown(ctx) }

// Kill closes the proxy and its connections at once.
func (b *baselineProxy) Kill() { _ = b.server.Close() }

// ServeHTTP handles look-ups, ticket requests and calls to services.
func (b *baselineProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/lookup":
		b.handleLookup(w)
	case r.URL.Path == "/v1/tickets":
		_ = json.NewEncoder(w).Encode(ticketBody{Ticket: "none"})
	case strings.HasPrefix(r.URL.Path, entry.RequestPath):
		b.handleRequest(w, r)
	default:
		http.NotFound(w, r)
	}
}

// handleLookup lists every entry VM, whether it runs or not, in random order.
func (b *baselineProxy) handleLookup(w http.ResponseWriter) {
	body := map[string]any{"ttl_ms": lookupTTL.Milliseconds()}
	var entries []map[string]string
	for _, i := range rand.Perm(len(b.fleet.vmIDs)) {
		entries = append(entries, map[string]string{"address": b.fleet.entries[b.fleet.vmIDs[i]].address})
	}
	body["entries"] = entries
	_ = json.NewEncoder(w).Encode(body)
}

// handleRequest forwards a request, with up to baselineMaxAttempts attempts. An
// attempt is repeated after an error or a response with status 503.
func (b *baselineProxy) handleRequest(w http.ResponseWriter, r *http.Request) {
	service, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, entry.RequestPath), "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for range baselineMaxAttempts {
		resp, err := b.attempt(r, model.ServiceName(service), path, string(body))
		if err != nil {
			continue
		}
		if resp.StatusCode == http.StatusServiceUnavailable {
			_ = resp.Body.Close()
			continue
		}
		b.copy(w, resp)
		return
	}
	w.Header().Set(header.Reason, "baseline")
	w.WriteHeader(http.StatusBadGateway)
}

// attempt sends the request to a random backend server of the service.
func (b *baselineProxy) attempt(r *http.Request, service model.ServiceName, path, body string) (*http.Response, error) {
	var servers []*backendServer
	for _, s := range b.fleet.servers {
		if s.service.Name == service {
			servers = append(servers, s)
		}
	}
	s := servers[rand.IntN(len(servers))]
	ctx, cancel := context.WithTimeout(r.Context(), baselineAttemptTimeout)
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+s.server().Address()+"/"+path+"?"+r.URL.RawQuery, strings.NewReader(body))
	if err != nil {
		cancel()
		return nil, err
	}
	header.CopyEndToEnd(out.Header, r.Header)
	out.Header.Set(header.Attempt, strconv.FormatUint(rand.Uint64(), nonceBase))
	resp, err := b.client.Do(out)
	if err != nil {
		cancel()
		return nil, err
	}
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: cancel}
	return resp, nil
}

// baselineAttemptTimeout bounds one attempt of the baseline.
const baselineAttemptTimeout = 5 * time.Second

// cancelBody releases the context of an attempt when its body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context of the attempt.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// copy passes a response on to the caller. It aborts the connection to the
// caller if the body can't be copied whole.
func (b *baselineProxy) copy(w http.ResponseWriter, resp *http.Response) {
	defer resp.Body.Close()
	header.CopyEndToEnd(w.Header(), resp.Header)
	w.Header().Set(header.Outcome, model.OutcomeRan.String())
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
