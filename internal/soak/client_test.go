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

// attempt is one request of a client with what it was told.
type attempt struct {
	id string
	// once says that the request must not run twice.
	once   bool
	status int
	broken string
	at     time.Time
}

// client sends requests one after the other on kept connections, as the
// directory tells it.
type client struct {
	number    int
	directory []string
	random    *rand.Rand
	http      *http.Client

	mu       sync.Mutex
	attempts []attempt
}

func newClient(number int, seed uint64, directory []string) *client {
	return &client{
		number: number, directory: directory, random: rand.New(rand.NewPCG(seed, uint64(number)+1000)),
		http: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
}

// run sends requests until stop closes.
func (c *client) run(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		a := c.send(fmt.Sprintf("%d-%d", c.number, i))
		c.mu.Lock()
		c.attempts = append(c.attempts, a)
		c.mu.Unlock()
		time.Sleep(time.Duration(5+c.random.IntN(25)) * time.Millisecond)
	}
}

func (c *client) send(id string) attempt {
	a := attempt{id: id, once: c.random.IntN(2) == 0, at: time.Now()}
	addresses := c.resolve()
	if len(addresses) == 0 {
		a.broken = "no look-up"
		return a
	}
	method, path := http.MethodGet, "/read/x"
	var payload io.Reader
	if a.once {
		method, path, payload = http.MethodPost, "/order/x", strings.NewReader("order "+id)
	}
	req, err := http.NewRequest(method, "http://"+addresses[c.random.IntN(len(addresses))]+path, payload)
	if err != nil {
		a.broken = err.Error()
		return a
	}
	// Keeps net/http from sending the request again by itself.
	req.GetBody = nil
	req.Host = "h.example"
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderObject, strconv.Itoa(c.random.IntN(30)))
	req.Header.Set(platform.HeaderDeadline, "3000")
	resp, err := c.http.Do(req)
	if err != nil {
		a.broken = err.Error()
		return a
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		a.broken = err.Error()
		return a
	}
	a.status = resp.StatusCode
	if a.status == http.StatusOK && (string(got) != body(id) || resp.Header.Get(platform.HeaderSeal) != "seal of "+id) {
		a.broken = fmt.Sprintf("MIXED: a success with seal %q and body %q", resp.Header.Get(platform.HeaderSeal), got)
	}
	return a
}

func (c *client) resolve() []string {
	for range 3 {
		at := c.directory[c.random.IntN(len(c.directory))]
		resp, err := c.http.Get("http://" + at + platform.PathResolve + "?name=h.example&region=r&zone=z1")
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

func (c *client) all() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]attempt(nil), c.attempts...)
}
