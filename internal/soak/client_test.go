package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"fuchsiaspar/platform"
)

// requestResult is one request of a client and its outcome as the client saw it.
type requestResult struct {
	requestID string
	// nonIdempotent is set if the request must not be executed more than once.
	nonIdempotent bool
	// status is the HTTP status, or 0 if there was no complete response.
	status int
	// failure describes a failed request or a response with wrong content.
	failure string
	sentAt  time.Time
	// key is the key that the client sent, and exempt says that the route needs none.
	key    string
	exempt bool
}

// client sends requests one at a time over keep-alive connections, to addresses
// that it looks up in the directory before each request.
type client struct {
	number             int
	directoryAddresses []string
	random             *rand.Rand
	http               *http.Client
	// chooseKey returns the key of the next request. Clients without it use the exempt route.
	chooseKey func() string
	// pipelined clients send several requests ahead over conn.
	pipelined bool
	conn      *pipelinedConn

	mu      sync.Mutex
	results []requestResult
}

func newClient(number int, seed uint64, directoryAddresses []string) *client {
	return &client{
		number: number, directoryAddresses: directoryAddresses, random: rand.New(rand.NewPCG(seed, uint64(number)+1000)),
		http: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
}

// run sends requests until stop is closed.
func (c *client) run(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("%d-%d", c.number, i)
		var results []requestResult
		if c.pipelined {
			results = c.sendAhead(id)
		} else {
			results = append(results, c.send(id))
		}
		c.mu.Lock()
		c.results = append(c.results, results...)
		c.mu.Unlock()
		time.Sleep(time.Duration(5+c.random.IntN(25)) * time.Millisecond)
	}
}

// send looks up the entry addresses and sends one request to one of them: a GET or
// a non-idempotent POST, at random.
func (c *client) send(requestID string) requestResult {
	result := requestResult{requestID: requestID, nonIdempotent: c.random.IntN(2) == 0, sentAt: time.Now()}
	if result.exempt = c.chooseKey == nil; !result.exempt {
		result.key = c.chooseKey()
	}
	addresses := c.resolve()
	if len(addresses) == 0 {
		result.failure = "lookup failed at every directory tried"
		return result
	}
	method, path := http.MethodGet, "/read/x"
	var payload io.Reader
	if result.nonIdempotent {
		method, path, payload = http.MethodPost, "/order/x", strings.NewReader("order "+requestID)
	}
	if result.exempt {
		path = "/open" + path
	}
	req, err := http.NewRequest(method, "http://"+addresses[c.random.IntN(len(addresses))]+path, payload)
	if err != nil {
		result.failure = err.Error()
		return result
	}
	// Without GetBody, net/http cannot replay the body to retry the request.
	req.GetBody = nil
	req.Host = "h.example"
	req.Header.Set(platform.HeaderRequestID, requestID)
	req.Header.Set(platform.HeaderObject, strconv.Itoa(c.random.IntN(30)))
	req.Header.Set(platform.HeaderDeadline, "3000")
	req.Header.Set(platform.HeaderAccount, claimedAccount)
	if result.key != "" {
		req.Header.Set(platform.HeaderKey, "Bearer "+result.key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		result.failure = err.Error()
		return result
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		result.failure = err.Error()
		return result
	}
	result.status = resp.StatusCode
	if result.status == http.StatusOK && (string(got) != responseBody(requestID) || resp.Header.Get(platform.HeaderSeal) != "seal of "+requestID) {
		result.failure = fmt.Sprintf("MIXED: 200 response with seal %q and body %q", resp.Header.Get(platform.HeaderSeal), got)
	}
	return result
}

// resolve returns the addresses of the entry VMs from a randomly chosen directory.
// After three failed tries it returns nil.
func (c *client) resolve() []string {
	for range 3 {
		address := c.directoryAddresses[c.random.IntN(len(c.directoryAddresses))]
		resp, err := c.http.Get("http://" + address + platform.PathResolve + "?name=h.example&region=r&zone=z1")
		if err != nil {
			continue
		}
		var answer platform.ResolveResponse
		err = json.NewDecoder(resp.Body).Decode(&answer)
		resp.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}

// snapshot returns a copy of the results so far.
func (c *client) snapshot() []requestResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]requestResult(nil), c.results...)
}
