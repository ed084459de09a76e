package httpstore

import (
	"context"
	"errors"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"fuchsiaspar/internal/platform"
	"fuchsiaspar/internal/platform/standin"
)

// connect returns a client of a stand-in served over HTTP.
func connect(t *testing.T, opts standin.Options) (*Client, *standin.Store) {
	t.Helper()
	store := standin.New(opts)
	server := httptest.NewServer(standin.Handler(store))
	t.Cleanup(server.Close)
	client := New(Options{
		BaseURL: server.URL,
		Client:  "vm",
		HTTP:    server.Client(),
		Timeout: 10 * time.Second,
		Rand:    rand.New(rand.NewSource(1)),
	})
	return client, store
}

func wantError(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("got error %v, want %v", got, want)
	}
}

func TestEveryCallReachesTheStore(t *testing.T) {
	c, store := connect(t, standin.Options{})
	ctx := context.Background()
	lease, err := c.Grant(ctx, time.Hour)
	wantError(t, err, nil)
	version, err := c.Put(ctx, "p/k", []byte("v"), 0, lease)
	wantError(t, err, nil)
	entry, err := c.Get(ctx, "p/k")
	if err != nil || string(entry.Value) != "v" || entry.Version != version {
		t.Errorf("got %+v, %v", entry, err)
	}
	entries, err := c.List(ctx, "p/")
	if err != nil || len(entries) != 1 {
		t.Errorf("list: %+v, %v", entries, err)
	}
	changed, newest, err := c.Watch(ctx, "p/", 0)
	if err != nil || len(changed) != 1 || newest != version {
		t.Errorf("watch: %+v, %d, %v", changed, newest, err)
	}
	wantError(t, c.KeepAlive(ctx, lease), nil)
	wantError(t, c.Delete(ctx, "p/k", version), nil)
	wantError(t, c.Revoke(ctx, lease), nil)
	store.SetVM(platform.VM{ID: "vm", State: platform.VMLive})
	vms, err := c.VMs(ctx)
	if err != nil || len(vms) != 1 {
		t.Errorf("vms: %+v, %v", vms, err)
	}
}

func TestErrorsAreThoseOfThePlatform(t *testing.T) {
	c, store := connect(t, standin.Options{})
	ctx := context.Background()
	_, err := c.Get(ctx, "none")
	wantError(t, err, platform.ErrNotFound)
	_, err = c.Put(ctx, "k", nil, 7, 0)
	wantError(t, err, platform.ErrConflict)
	_, err = c.Put(ctx, "k", make([]byte, platform.MaxValueBytes+1), 0, 0)
	wantError(t, err, platform.ErrTooLarge)
	wantError(t, c.KeepAlive(ctx, 99), platform.ErrNotFound)
	store.LoseAnswers("vm", 1)
	_, err = c.Put(ctx, "k", nil, 0, 0)
	wantError(t, err, platform.ErrUnavailable)
	_, err = c.Get(ctx, "k")
	wantError(t, err, nil)
	store.Cut("vm", true)
	short, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	_, err = c.Get(short, "k")
	wantError(t, err, platform.ErrUnavailable)
}

func TestRateLimitedCallsAreRepeated(t *testing.T) {
	store := standin.New(standin.Options{})
	handler := standin.Handler(store)
	refusals := 3
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refusals > 0 {
			refusals--
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	c := New(Options{BaseURL: server.URL, HTTP: server.Client(), Timeout: 10 * time.Second, Rand: rand.New(rand.NewSource(1))})
	_, err := c.Put(context.Background(), "k", nil, 0, 0)
	wantError(t, err, nil)
	refusals = maxRepeats + 1
	_, err = c.Get(context.Background(), "k")
	wantError(t, err, platform.ErrRateLimited)
}

func TestTruncatedAnswerIsUnavailable(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte(`{"version":`))
	}))
	defer server.Close()
	c := New(Options{BaseURL: server.URL, HTTP: server.Client()})
	_, err := c.Put(context.Background(), "k", nil, 0, 0)
	wantError(t, err, platform.ErrUnavailable)
}
