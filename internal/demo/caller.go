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
	// maxEntryTries bounds the entry VMs that a caller asks for one request.
	maxEntryTries = 3
	// callerIdle is the count of idle connections kept to one entry VM.
	callerIdle = 256
	// repeatWait is the pause before a caller asks again.
	repeatWait = 50 * time.Millisecond
)

// caller is the callers' side of one zone: it looks entry VMs up, caches the
// answers and sends requests as the callers' page says.
type caller struct {
	zone   model.Zone
	client *http.Client
	// bootstrap lists entry VMs for the first look-up.
	bootstrap []string

	mu    sync.Mutex
	cache map[lookupKey]cachedLookup
}

type lookupKey struct {
	account model.AccountID
	service model.ServiceName
}

type cachedLookup struct {
	addresses []string
	until     time.Time
}

func newCaller(zone model.Zone, dial func(context.Context, string, string) (net.Conn, error), bootstrap []string) *caller {
	return &caller{
		zone:      zone,
		bootstrap: bootstrap,
		cache:     make(map[lookupKey]cachedLookup),
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: callerIdle,
			DisableCompression:  true,
		}},
	}
}

// order is one request of a caller.
type order struct {
	service  model.ServiceName
	kind     Kind
	account  model.AccountID
	client   netip.Addr
	orderID  string
	deadline time.Time
	ticket   string
}

type lookupBody struct {
	Entries []struct {
		Address string `json:"address"`
	} `json:"entries"`
	TTLMs int64 `json:"ttl_ms"`
}

type ticketBody struct {
	Ticket string `json:"ticket"`
}

var errNoEntry = errors.New("no entry VM answered")

// lookup returns the entry VMs to use, from the cache while it is valid.
func (c *caller) lookup(ctx context.Context, o *order) ([]string, error) {
	key := lookupKey{account: o.account, service: o.service}
	c.mu.Lock()
	held, ok := c.cache[key]
	c.mu.Unlock()
	if ok && time.Now().Before(held.until) {
		return held.addresses, nil
	}
	query := url.Values{"account": {string(o.account)}, "service": {string(o.service)}, "client": {o.client.String()}}
	known := append(append([]string(nil), held.addresses...), c.bootstrap...)
	for _, address := range known {
		var body lookupBody
		if err := c.api(ctx, http.MethodGet, address, "/v1/lookup?"+query.Encode(), "", &body); err != nil {
			continue
		}
		fresh := cachedLookup{until: time.Now().Add(time.Duration(body.TTLMs) * time.Millisecond)}
		for _, e := range body.Entries {
			fresh.addresses = append(fresh.addresses, e.Address)
		}
		c.mu.Lock()
		c.cache[key] = fresh
		c.mu.Unlock()
		return fresh.addresses, nil
	}
	return nil, errNoEntry
}

// apiTimeout bounds one look-up or ticket.
const apiTimeout = 300 * time.Millisecond

func (c *caller) api(ctx context.Context, method, address, path, body string, into any) error {
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
	return json.NewDecoder(resp.Body).Decode(into)
}

// takeTicket asks one entry VM after another for a ticket.
func (c *caller) takeTicket(ctx context.Context, o *order, addresses []string) error {
	request, err := json.Marshal(map[string]string{"account": string(o.account), "service": string(o.service)})
	if err != nil {
		return err
	}
	for _, address := range addresses {
		var body ticketBody
		if err := c.api(ctx, http.MethodPost, address, "/v1/tickets", string(request), &body); err == nil {
			o.ticket = body.Ticket
			return nil
		}
	}
	return errNoEntry
}

// send carries one request to its end and says how it ended.
func (c *caller) send(ctx context.Context, o *order) result {
	started := time.Now()
	r := result{priority: o.kind.Priority, kind: o.kind.Name, account: o.account, orderID: o.orderID}
	ctx, cancel := context.WithDeadline(ctx, o.deadline.Add(callerGrace))
	defer cancel()
	c.try(ctx, o, &r)
	r.latency = time.Since(started)
	r.late = time.Now().After(o.deadline)
	return r
}

// callerGrace is how long a caller waits past the deadline for the outcome.
const callerGrace = time.Second

func (c *caller) try(ctx context.Context, o *order, r *result) {
	addresses, err := c.lookup(ctx, o)
	if err != nil {
		r.outcome, r.reason = model.OutcomeNotRun, reasonNoEntry
		return
	}
	if !o.kind.Idempotent {
		if err := c.takeTicket(ctx, o, addresses); err != nil {
			r.outcome, r.reason = model.OutcomeNotRun, reasonNoEntry
			return
		}
	}
	mayHaveRun := false
	for n := 0; n < maxEntryTries; n++ {
		again := c.ask(ctx, o, addresses[n%len(addresses)], r)
		mayHaveRun = mayHaveRun || r.outcome == model.OutcomeUnknown
		if mayHaveRun && o.kind.Idempotent && r.outcome == model.OutcomeNotRun {
			r.outcome = model.OutcomeUnknown
		}
		if !again || time.Now().After(o.deadline) {
			return
		}
		if o.ticket != "" && r.outcome == model.OutcomeNotRun && !c.renew(ctx, o, addresses, n+1) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(repeatWait):
		}
	}
}

// renew takes a new ticket for an order that did not run, from the entry VM
// that is asked next.
func (c *caller) renew(ctx context.Context, o *order, addresses []string, next int) bool {
	at := next % len(addresses)
	return c.takeTicket(ctx, o, append(addresses[at:len(addresses):len(addresses)], addresses[:at]...)) == nil
}

// reasonNoEntry is the caller's own reason when no entry VM answered.
const reasonNoEntry model.Reason = "no_entry_vm"

// reasonConnection is the caller's own reason when a connection ended early.
const reasonConnection model.Reason = "connection_lost"

// ask sends the request to one entry VM. It reports whether asking another one
// is right: a lost connection proves nothing, and both idempotent requests and
// requests with a ticket may be repeated.
func (c *caller) ask(ctx context.Context, o *order, address string, r *result) bool {
	request, err := o.request(ctx, address)
	if err != nil {
		r.outcome, r.reason = model.OutcomeNotRun, model.ReasonMalformed
		return false
	}
	resp, err := c.client.Do(request)
	if err != nil {
		r.outcome, r.reason = model.OutcomeUnknown, reasonConnection
		return true
	}
	defer resp.Body.Close()
	r.outcome = parseOutcome(resp.Header.Get(header.Outcome))
	r.reason = model.Reason(resp.Header.Get(header.Reason))
	r.whole = false
	if r.outcome != model.OutcomeRan || r.reason != "" {
		_, _ = io.Copy(io.Discard, resp.Body)
		return c.mayAskElsewhere(o, r)
	}
	err = checkAnswer(o, resp)
	if errors.Is(err, errCrossed) {
		r.crossed = true
		return false
	}
	if err != nil {
		r.outcome, r.reason = model.OutcomeUnknown, reasonConnection
		if time.Now().After(o.deadline) {
			r.reason = model.ReasonTimeout
		}
		return true
	}
	r.whole = true
	return false
}

// mayAskElsewhere reports whether another entry VM could do better.
func (c *caller) mayAskElsewhere(o *order, r *result) bool {
	switch r.reason {
	case model.ReasonNoConfig, model.ReasonIsolated, model.ReasonStopping, model.ReasonLinkCap:
		return true
	case model.ReasonTimeout:
		return false
	}
	return r.outcome == model.OutcomeUnknown && o.kind.Idempotent
}

func (o *order) request(ctx context.Context, address string) (*http.Request, error) {
	method, body := http.MethodGet, ""
	if !o.kind.Idempotent {
		method, body = http.MethodPost, "order "+o.orderID
	}
	path := fmt.Sprintf("http://%s/v1/requests/%s%s?bytes=%d&id=%s", address, o.service, o.kind.Path, o.kind.Bytes, o.orderID)
	r, err := http.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	h := r.Header
	h.Set(header.Account, string(o.account))
	h.Set(header.Client, o.client.String())
	h.Set(header.DeadlineMS, strconv.FormatInt(max(1, time.Until(o.deadline).Milliseconds()), 10))
	h.Set(standin.HeaderOrder, o.orderID)
	if o.ticket != "" {
		h.Set(header.Ticket, o.ticket)
	}
	return r, nil
}

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

// errCrossed reports an answer to another request.
var errCrossed = errors.New("answer belongs to another request")

// checkAnswer reads the whole answer and compares it with what the backend
// server said it would send.
func checkAnswer(o *order, resp *http.Response) error {
	if echo := resp.Header.Get(standin.HeaderOrder); echo != o.orderID {
		return errCrossed
	}
	digest, err := standin.Digest(resp.Body)
	if err != nil {
		return err
	}
	if digest != resp.Header.Get(standin.HeaderDigest) {
		return errCrossed
	}
	return nil
}

// clientIn draws a client's address from a block.
func clientIn(block netip.Prefix) netip.Addr {
	raw := block.Addr().As4()
	raw[3] = byte(rand.IntN(256))
	return netip.AddrFrom4(raw)
}
