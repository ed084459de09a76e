package front

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fuchsiaspar/internal/accountlimit"
	"fuchsiaspar/internal/catalog"
)

// newLimiter returns a limiter whose account "everywhere" has so many tokens, and gets no
// further ones within the test.
func newLimiter(t *testing.T, tokens float64) *accountlimit.Limiter {
	t.Helper()
	l := accountlimit.New(accountlimit.Options{Window: time.Second, Slack: 1000, Process: 1})
	now := time.Now().Add(-10 * time.Second)
	l.SetReach(accountlimit.Contact{Heard: 1, Total: 1, Part: 1}, now)
	// Accounts of the first configuration start without tokens.
	l.SetAccounts(&catalog.Accounts{}, now)
	var accounts catalog.Accounts
	if err := accounts.Add(&catalog.Account{ID: "everywhere", RatePerSecond: 1e-9, Burst: 1}, nil); err != nil {
		t.Fatal(err)
	}
	l.SetAccounts(&accounts, now)
	for l.State("everywhere", now).Tokens >= tokens+1 {
		now = now.Add(10 * time.Millisecond)
		if ok, _ := l.Take("everywhere", now); !ok {
			t.Fatal("no token")
		}
	}
	return l
}

// refusingAddress returns an address that refuses connections until the test ends. The port of
// a closed listener could be taken by another process.
func refusingAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		t.Fatalf("unexpected address %v", name)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(address.Port))
}

// Guards against limits that are passed by, against requests at the limit that reach a
// server, and against tokens that are lost with requests that were not sent.
func TestAccountLimit(t *testing.T) {
	tests := []struct {
		desc     string
		behave   behaviour
		key      string
		requests int
		denied   int
		arrivals int
		spent    float64
	}{
		{"within the limit", serveOK, "key-1", 5, 0, 5, 5},
		{"over the limit", serveOK, "key-1", 9, 4, 5, 5},
		{"account without a limit", serveOK, "key-2", 9, 0, 9, 0},
		{"an arrival counts that the server refuses", serveStatus(http.StatusServiceUnavailable, true), "key-1", 1, 0, 1, 1},
		{"no server: nothing was sent", nil, "key-1", 9, 0, 0, 0},
		{"only a server without a process: nothing was sent", resetConnection, "key-1", 3, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var arrivals atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				arrivals.Add(1)
				tt.behave(w, r)
			}))
			t.Cleanup(server.Close)
			servers := []*catalog.Server{{ID: "i-0", Service: "desk", Region: "kp", Address: server.Listener.Addr().String(), Slots: 20}}
			if tt.behave == nil {
				servers = nil
			} else if tt.arrivals == 0 {
				servers[0].Address = refusingAddress(t)
			}
			limiter := newLimiter(t, 5)
			snapshot := catalog.NewSnapshot(9, accountConfig(t), servers, nil, nil)
			front := startFrontWithLimits(t, func() *catalog.Snapshot { return snapshot }, 0, limiter)
			before := limiter.State("everywhere", time.Now()).Tokens
			denied := 0
			for range tt.requests {
				req, err := http.NewRequest(http.MethodGet, front.URL+"/read/a", nil)
				if err != nil {
					t.Fatal(err)
				}
				req.Host = "h.example"
				req.Header = http.Header{"Authorization": {"Bearer " + tt.key}, "X-Fuchsiaspar-Request-Id": {"id-1"}}
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					t.Fatal(err)
				}
				resp.Body.Close()
				if resp.StatusCode != http.StatusTooManyRequests {
					continue
				}
				denied++
				if wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || wait <= 0 {
					t.Errorf("Retry-After %q", resp.Header.Get("Retry-After"))
				}
			}
			spent := before - limiter.State("everywhere", time.Now()).Tokens
			if denied != tt.denied || int(arrivals.Load()) != tt.arrivals || spent < tt.spent-0.01 || spent > tt.spent+0.01 {
				t.Errorf("%d denied, %d arrivals, %.2f tokens spent; want %d, %d and %.2f", denied, arrivals.Load(), spent, tt.denied, tt.arrivals, tt.spent)
			}
		})
	}
}
