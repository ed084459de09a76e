// Package httpstore is the adapter to a platform that speaks HTTP with JSON
// bodies. It alone knows that protocol.
package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"

	"fuchsiaspar/internal/platform"
	"fuchsiaspar/internal/platform/wire"

	"github.com/pkg/errors"
)

// Timings of calls to the platform.
const (
	// DefaultTimeout bounds one call other than a watch.
	DefaultTimeout = 2 * time.Second
	// WatchTimeout bounds one waiting watch.
	WatchTimeout = 25 * time.Second
	// backOffBase is the mean wait before the first repeat of a call that was
	// over the rate limit; it doubles with each further one.
	backOffBase = 20 * time.Millisecond
	// maxRepeats bounds the repeats of a call that was over the rate limit.
	maxRepeats = 4
)

// Options configure a Client.
type Options struct {
	// BaseURL is the root of the platform's API, such as http://10.0.0.1:7000.
	BaseURL string
	// Client names this process to the platform.
	Client string
	// HTTP makes the calls; nil takes a client of its own.
	HTTP *http.Client
	// Timeout bounds one call other than a watch; zero takes DefaultTimeout.
	Timeout time.Duration
	// Rand draws the jitter; nil takes a source seeded by the runtime.
	Rand *rand.Rand
}

// Client implements platform.Store and platform.VMList over HTTP. It is safe
// for concurrent use.
type Client struct {
	base    string
	name    string
	http    *http.Client
	timeout time.Duration

	mu   sync.Mutex
	rand *rand.Rand
}

var (
	_ platform.Store  = (*Client)(nil)
	_ platform.VMList = (*Client)(nil)
)

// New returns a client of the platform at opts.BaseURL.
func New(opts Options) *Client {
	if opts.HTTP == nil {
		opts.HTTP = &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
	}
	if opts.Timeout == 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewSource(rand.Int63()))
	}
	return &Client{
		base:    strings.TrimSuffix(opts.BaseURL, "/"),
		name:    opts.Client,
		http:    opts.HTTP,
		timeout: opts.Timeout,
		rand:    opts.Rand,
	}
}

// Get implements platform.Store.
func (c *Client) Get(ctx context.Context, key string) (platform.Entry, error) {
	var answer wire.EntriesAnswer
	if err := c.call(ctx, wire.PathGet, wire.KeyRequest{Key: key}, &answer); err != nil {
		return platform.Entry{}, err
	}
	if len(answer.Entries) != 1 {
		return platform.Entry{}, errors.Wrap(platform.ErrUnavailable, "answer without entry")
	}
	return answer.Entries[0], nil
}

// List implements platform.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	var answer wire.EntriesAnswer
	err := c.call(ctx, wire.PathList, wire.KeyRequest{Key: prefix}, &answer)
	return answer.Entries, err
}

// Put implements platform.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect uint64, lease platform.LeaseID) (uint64, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	body := wire.PutRequest{Key: key, Value: value, Expect: expect, Lease: lease}
	var answer wire.VersionAnswer
	err := c.call(ctx, wire.PathPut, body, &answer)
	return answer.Version, err
}

// Delete implements platform.Store.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	return c.call(ctx, wire.PathDelete, wire.DeleteRequest{Key: key, Expect: expect}, &wire.Empty{})
}

// Grant implements platform.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	var answer wire.LeaseAnswer
	err := c.call(ctx, wire.PathGrant, wire.GrantRequest{TTL: ttl}, &answer)
	return answer.Lease, err
}

// KeepAlive implements platform.Store.
func (c *Client) KeepAlive(ctx context.Context, lease platform.LeaseID) error {
	return c.call(ctx, wire.PathKeepAlive, wire.LeaseRequest{Lease: lease}, &wire.Empty{})
}

// Revoke implements platform.Store.
func (c *Client) Revoke(ctx context.Context, lease platform.LeaseID) error {
	return c.call(ctx, wire.PathRevoke, wire.LeaseRequest{Lease: lease}, &wire.Empty{})
}

// Watch implements platform.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]platform.Entry, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout)
	defer cancel()
	var answer wire.EntriesAnswer
	if err := c.repeat(ctx, wire.PathWatch, wire.WatchRequest{Prefix: prefix, After: after}, &answer); err != nil {
		return nil, after, err
	}
	return answer.Entries, answer.Newest, nil
}

// VMs implements platform.VMList.
func (c *Client) VMs(ctx context.Context) ([]platform.VM, error) {
	var answer wire.VMsAnswer
	err := c.call(ctx, wire.PathVMs, wire.Empty{}, &answer)
	return answer.VMs, err
}

// call is repeat within the timeout of one call.
func (c *Client) call(ctx context.Context, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.repeat(ctx, path, body, answer)
}

// repeat posts a body and repeats the call, with growing jittered waits, while
// the platform refuses it unrun for being over the rate limit.
func (c *Client) repeat(ctx context.Context, path string, body, answer any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode call to platform")
	}
	wait := backOffBase
	for tries := 0; ; tries++ {
		err = c.post(ctx, path, encoded, answer)
		if !errors.Is(err, platform.ErrRateLimited) || tries == maxRepeats {
			return err
		}
		if !c.pause(ctx, wait) {
			return err
		}
		wait *= 2
	}
}

// pause waits between half and one and a half of mean. It returns false when
// ctx ended first.
func (c *Client) pause(ctx context.Context, mean time.Duration) bool {
	c.mu.Lock()
	jitter := time.Duration(c.rand.Int63n(int64(mean)))
	c.mu.Unlock()
	timer := time.NewTimer(mean/2 + jitter)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// post makes one HTTP call. A failure to read the answer is ErrUnavailable,
// since the call may have taken effect.
func (c *Client) post(ctx context.Context, path string, body []byte, answer any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build call to platform")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.ClientHeader, c.name)
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	defer resp.Body.Close()
	if err := wire.Error(resp.StatusCode); err != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<10))
		return err
	}
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		return errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	return nil
}
