package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"fuchsiaspar/internal/backend/standin"
	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

const (
	// maxEntryAttempts limits the attempts at entry VMs for one request.
	maxEntryAttempts = 3
	// maxIdleConnsPerEntry is the number of idle connections kept to one entry VM.
	maxIdleConnsPerEntry = 256
	// retryDelay is the pause between two attempts.
	retryDelay = 50 * time.Millisecond
)

// caller is the client of one availability zone. It looks up entry VMs, caches
// the results and sends requests according to the documented client protocol.
type caller struct {
	zone   model.Zone
	client *http.Client
	// bootstrap holds the addresses of the entry VMs that are asked when no cached
	// one answers a look-up.
	bootstrap []string

	mu    sync.Mutex
	cache map[lookupKey]cachedLookup
}

// lookupKey identifies a cached look-up.
type lookupKey struct {
	account model.AccountID
	service model.ServiceName
}

// cachedLookup holds the entry VMs of a look-up, valid before until.
type cachedLookup struct {
	addresses []string
	until     time.Time
}

// newCaller returns the caller of a zone that opens its connections with dial.
func newCaller(zone model.Zone, dial func(context.Context, string, string) (net.Conn, error), bootstrap []string) *caller {
	return &caller{
		zone:      zone,
		bootstrap: bootstrap,
		cache:     make(map[lookupKey]cachedLookup),
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: maxIdleConnsPerEntry,
			DisableCompression:  true,
		}},
	}
}

// clientRequest is one request of a caller. The ticket is empty for an idempotent
// request.
type clientRequest struct {
	service  model.ServiceName
	kind     Kind
	account  model.AccountID
	client   netip.Addr
	orderID  string
	deadline time.Time
	ticket   string
}

// lookupBody is the response to a look-up.
type lookupBody struct {
	Entries []struct {
		Address string `json:"address"`
	} `json:"entries"`
	TTLMs int64 `json:"ttl_ms"`
}

// ticketBody is the response to a ticket request.
type ticketBody struct {
	Ticket string `json:"ticket"`
}

// errNoEntryVM reports that no entry VM answered a look-up or issued a ticket.
var errNoEntryVM = errors.New("no entry VM answered")

// lookup returns the addresses of the entry VMs to use, from the cache while the
// cached result is valid. Otherwise it asks the cached entry VMs and then the
// bootstrap ones. It returns errNoEntryVM if none of them answers.
func (c *caller) lookup(ctx context.Context, req *clientRequest) ([]string, error) {
	key := lookupKey{account: req.account, service: req.service}
	c.mu.Lock()
	cached, ok := c.cache[key]
	c.mu.Unlock()
	if ok && time.Now().Before(cached.until) {
		return cached.addresses, nil
	}
	query := url.Values{"account": {string(req.account)}, "service": {string(req.service)}, "client": {req.client.String()}}
	candidates := append(append([]string(nil), cached.addresses...), c.bootstrap...)
	for _, address := range candidates {
		var body lookupBody
		if err := c.callAPI(ctx, http.MethodGet, address, "/v1/lookup?"+query.Encode(), "", &body); err != nil {
			continue
		}
		entry := cachedLookup{until: time.Now().Add(time.Duration(body.TTLMs) * time.Millisecond)}
		for _, e := range body.Entries {
			entry.addresses = append(entry.addresses, e.Address)
		}
		c.mu.Lock()
		c.cache[key] = entry
		c.mu.Unlock()
		return entry.addresses, nil
	}
	return nil, errNoEntryVM
}

// apiTimeout bounds one look-up or ticket request.
const apiTimeout = 300 * time.Millisecond

// callAPI sends a request to the API of an entry VM and decodes the JSON response.
// A status of 300 or more is an error.
func (c *caller) callAPI(ctx context.Context, method, address, path, body string, response any) error {
	ctx, cancel := context.WithTimeout(ctx, apiTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(response)
}

// requestTicket sets the ticket of the request to one from the first entry VM
// that issues it. It returns errNoEntryVM if none does.
func (c *caller) requestTicket(ctx context.Context, req *clientRequest, addresses []string) error {
	payload, err := json.Marshal(map[string]string{"account": string(req.account), "service": string(req.service)})
	if err != nil {
		return err
	}
	for _, address := range addresses {
		var body ticketBody
		if err := c.callAPI(ctx, http.MethodPost, address, "/v1/tickets", string(payload), &body); err == nil {
			req.ticket = body.Ticket
			return nil
		}
	}
	return errNoEntryVM
}

// send sends one request, including its retries, and returns its result.
func (c *caller) send(ctx context.Context, req *clientRequest) result {
	started := time.Now()
	r := result{priority: req.kind.Priority, kind: req.kind.Name, account: req.account, orderID: req.orderID}
	ctx, cancel := context.WithDeadline(ctx, req.deadline.Add(outcomeGrace))
	defer cancel()
	c.sendWithRetries(ctx, req, &r)
	r.latency = time.Since(started)
	r.late = time.Now().After(req.deadline)
	return r
}

// outcomeGrace is how long a caller waits past the deadline for the outcome.
const outcomeGrace = time.Second

// sendWithRetries makes up to maxEntryAttempts attempts, each at the next entry VM
// of the look-up, and sets the outcome and the reason of r. Once an attempt of an
// idempotent request may have run, a later refusal leaves the outcome unknown.
func (c *caller) sendWithRetries(ctx context.Context, req *clientRequest, r *result) {
	addresses, err := c.lookup(ctx, req)
	if err != nil {
		r.outcome, r.reason = model.OutcomeNotRun, reasonNoEntryVM
		return
	}
	if !req.kind.Idempotent {
		if err := c.requestTicket(ctx, req, addresses); err != nil {
			r.outcome, r.reason = model.OutcomeNotRun, reasonNoEntryVM
			return
		}
	}
	mayHaveRun := false
	for n := 0; n < maxEntryAttempts; n++ {
		retry := c.attempt(ctx, req, addresses[n%len(addresses)], r)
		mayHaveRun = mayHaveRun || r.outcome == model.OutcomeUnknown
		if mayHaveRun && req.kind.Idempotent && r.outcome == model.OutcomeNotRun {
			r.outcome = model.OutcomeUnknown
		}
		if !retry || time.Now().After(req.deadline) {
			return
		}
		if req.ticket != "" && r.outcome == model.OutcomeNotRun && !c.renewTicket(ctx, req, addresses, n+1) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryDelay):
		}
	}
}

// renewTicket requests a new ticket for a request that did not run, first from
// the entry VM that is asked next. It reports whether one was issued.
func (c *caller) renewTicket(ctx context.Context, req *clientRequest, addresses []string, next int) bool {
	at := next % len(addresses)
	return c.requestTicket(ctx, req, append(addresses[at:len(addresses):len(addresses)], addresses[:at]...)) == nil
}

// reasonNoEntryVM is set by the caller when no entry VM answered.
const reasonNoEntryVM model.Reason = "no_entry_vm"

// reasonConnectionLost is set by the caller when a connection ended before the
// whole response had arrived.
const reasonConnectionLost model.Reason = "connection_lost"

// attempt sends the request to one entry VM, sets the outcome and the reason of r
// and reports whether to retry at another entry VM. After a lost connection it is
// unknown whether the request ran. Retrying is safe nevertheless: every request is
// idempotent or has a ticket, which prevents a second run.
func (c *caller) attempt(ctx context.Context, req *clientRequest, address string, r *result) bool {
	request, err := req.newHTTPRequest(ctx, address)
	if err != nil {
		r.outcome, r.reason = model.OutcomeNotRun, model.ReasonMalformed
		return false
	}
	resp, err := c.client.Do(request)
	if err != nil {
		r.outcome, r.reason = model.OutcomeUnknown, reasonConnectionLost
		return true
	}
	defer resp.Body.Close()
	r.outcome = parseOutcome(resp.Header.Get(header.Outcome))
	r.reason = model.Reason(resp.Header.Get(header.Reason))
	r.whole = false
	if r.outcome != model.OutcomeRan || r.reason != "" {
		_, _ = io.Copy(io.Discard, resp.Body)
		return c.retryableElsewhere(req, r)
	}
	err = verifyResponse(req, resp)
	if errors.Is(err, errMismatched) {
		r.mismatched = true
		return false
	}
	if err != nil {
		r.outcome, r.reason = model.OutcomeUnknown, reasonConnectionLost
		if time.Now().After(req.deadline) {
			r.reason = model.ReasonTimeout
		}
		return true
	}
	r.whole = true
	return false
}

// retryableElsewhere reports whether another entry VM may succeed where this one
// did not.
func (c *caller) retryableElsewhere(req *clientRequest, r *result) bool {
	switch r.reason {
	case model.ReasonNoConfig, model.ReasonIsolated, model.ReasonStopping, model.ReasonLinkCap:
		return true
	case model.ReasonTimeout:
		return false
	}
	return r.outcome == model.OutcomeUnknown && req.kind.Idempotent
}

// newHTTPRequest builds the HTTP request for one attempt at an entry VM. Its
// deadline header holds the time left, at least 1 ms.
func (req *clientRequest) newHTTPRequest(ctx context.Context, address string) (*http.Request, error) {
	method, body := http.MethodGet, ""
	if !req.kind.Idempotent {
		method, body = http.MethodPost, "order "+req.orderID
	}
	path := fmt.Sprintf("http://%s/v1/requests/%s%s?bytes=%d&id=%s", address, req.service, req.kind.Path, req.kind.Bytes, req.orderID)
	r, err := http.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	h := r.Header
	h.Set(header.Account, string(req.account))
	h.Set(header.Client, req.client.String())
	h.Set(header.DeadlineMS, strconv.FormatInt(max(1, time.Until(req.deadline).Milliseconds()), 10))
	h.Set(standin.HeaderOrder, req.orderID)
	if req.ticket != "" {
		h.Set(header.Ticket, req.ticket)
	}
	return r, nil
}

// parseOutcome parses the value of the outcome header. Any other value counts as
// an unknown outcome.
func parseOutcome(text string) model.Outcome {
	switch text {
	case model.OutcomeRan.String():
		return model.OutcomeRan
	case model.OutcomeNotRun.String():
		return model.OutcomeNotRun
	default:
		return model.OutcomeUnknown
	}
}

// errMismatched reports a response to another request, or one whose body differs
// from its digest.
var errMismatched = errors.New("answer belongs to another request")

// verifyResponse reads the whole body and compares the request id and the digest
// with those that the backend server put into the headers. It returns
// errMismatched if one differs, or the error of a body that ended early.
func verifyResponse(req *clientRequest, resp *http.Response) error {
	if echo := resp.Header.Get(standin.HeaderOrder); echo != req.orderID {
		return errMismatched
	}
	digest, err := standin.Digest(resp.Body)
	if err != nil {
		return err
	}
	if digest != resp.Header.Get(standin.HeaderDigest) {
		return errMismatched
	}
	return nil
}

// randomClientAddr returns a random address from an IPv4 /24 block.
func randomClientAddr(block netip.Prefix) netip.Addr {
	raw := block.Addr().As4()
	raw[3] = byte(rand.IntN(256))
	return netip.AddrFrom4(raw)
}
