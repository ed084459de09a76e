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
	// baselineTries is the count of tries of the baseline at one request.
	baselineTries = 3
	// baselineConns bounds the baseline's connections to one server.
	baselineConns = 100
)

// baseline serves the caller API with the policy that figures are held
// against: a random server, no queue of its own, and retries without a budget.
type baseline struct {
	fleet  *fleet
	client *http.Client
	server *http.Server
}

// startBaseline starts a baseline on every entry VM.
func (f *fleet) startBaseline() error {
	for _, vm := range f.order {
		e := f.entries[vm]
		l, err := e.listener()
		if err != nil {
			return errors.Wrap(err, "start baseline")
		}
		b := &baseline{fleet: f, client: &http.Client{Transport: &http.Transport{
			DialContext:         f.net.dialer(e.slot.Zone),
			MaxConnsPerHost:     baselineConns,
			MaxIdleConnsPerHost: baselineConns,
			DisableCompression:  true,
		}}}
		b.server = &http.Server{Handler: b}
		go func() { _ = b.server.Serve(l) }()
		e.process, e.running = b, true
	}
	return nil
}

// Stop ends the baseline after the requests in flight.
func (b *baseline) Stop(ctx context.Context) error { return b.server.Shutdown(ctx) }

// Kill ends the baseline at once.
func (b *baseline) Kill() { _ = b.server.Close() }

// ServeHTTP answers look-ups, tickets and requests.
func (b *baseline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/lookup":
		b.lookup(w)
	case r.URL.Path == "/v1/tickets":
		_ = json.NewEncoder(w).Encode(ticketBody{Ticket: "none"})
	case strings.HasPrefix(r.URL.Path, entry.RequestPath):
		b.request(w, r)
	default:
		http.NotFound(w, r)
	}
}

// lookup names every entry VM, whether it runs or not, in random order.
func (b *baseline) lookup(w http.ResponseWriter) {
	body := map[string]any{"ttl_ms": lookupTTL.Milliseconds()}
	var entries []map[string]string
	for _, i := range rand.Perm(len(b.fleet.order)) {
		entries = append(entries, map[string]string{"address": b.fleet.entries[b.fleet.order[i]].address})
	}
	body["entries"] = entries
	_ = json.NewEncoder(w).Encode(body)
}

func (b *baseline) request(w http.ResponseWriter, r *http.Request) {
	service, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, entry.RequestPath), "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for range baselineTries {
		resp, err := b.try(r, model.ServiceName(service), path, string(body))
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

// try sends the request to a random server of the service.
func (b *baseline) try(r *http.Request, service model.ServiceName, path, body string) (*http.Response, error) {
	var servers []*backendServer
	for _, s := range b.fleet.servers {
		if s.service.Name == service {
			servers = append(servers, s)
		}
	}
	s := servers[rand.IntN(len(servers))]
	ctx, cancel := context.WithTimeout(r.Context(), baselineTimeout)
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+s.server().Address()+"/"+path+"?"+r.URL.RawQuery, strings.NewReader(body))
	if err != nil {
		cancel()
		return nil, err
	}
	header.CopyEndToEnd(out.Header, r.Header)
	out.Header.Set(header.Attempt, strconv.FormatUint(rand.Uint64(), orderBase))
	resp, err := b.client.Do(out)
	if err != nil {
		cancel()
		return nil, err
	}
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: cancel}
	return resp, nil
}

// baselineTimeout bounds one try of the baseline.
const baselineTimeout = 5 * time.Second

type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close ends the try.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

func (b *baseline) copy(w http.ResponseWriter, resp *http.Response) {
	defer resp.Body.Close()
	header.CopyEndToEnd(w.Header(), resp.Header)
	w.Header().Set(header.Outcome, model.OutcomeRan.String())
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
