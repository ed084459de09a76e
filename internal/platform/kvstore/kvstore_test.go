package kvstore

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/platform"
	kv "fuchsiaspar/platform"
	"fuchsiaspar/platform/storetest"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
)

func newStore(t *testing.T, address string) *Store {
	t.Helper()
	client := kv.NewClient(address, nil)
	t.Cleanup(client.Close)
	return New(client, rand.New(rand.NewPCG(1, 1)), log.New(io.Discard))
}

// newStoreWithFake returns a Store and the fake that it calls over HTTP.
func newStoreWithFake(t *testing.T) (*Store, *storetest.Store) {
	t.Helper()
	fake := storetest.Start(t, 2)
	return newStore(t, fake.Address()), fake
}

func wantError(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("got error %v, want %v", got, want)
	}
}

func TestCallsReachTheStore(t *testing.T) {
	s, fake := newStoreWithFake(t)
	ctx := context.Background()
	lease, err := s.Grant(ctx, time.Hour)
	wantError(t, err, nil)
	version, err := s.Put(ctx, "p/k", []byte("v"), 0, lease)
	wantError(t, err, nil)
	got, err := s.Get(ctx, "p/k")
	if err != nil || string(got.Value) != "v" || got.Version != version {
		t.Errorf("got %+v, %v", got, err)
	}
	for _, key := range []string{"p/a", "p/b", "q/c"} {
		fake.Put(key, nil)
	}
	listed, err := s.List(ctx, "p/")
	if err != nil || len(listed) != 3 {
		t.Errorf("list: %+v, %v", listed, err)
	}
	changed, newest, err := s.Watch(ctx, "p/", version)
	if err != nil || len(changed) != 2 || newest != version+3 {
		t.Errorf("watch: %+v, %d, %v", changed, newest, err)
	}
	wantError(t, s.KeepAlive(ctx, lease), nil)
	wantError(t, s.Delete(ctx, "p/k", version), nil)
	removed, _, err := s.Watch(ctx, "p/", newest)
	if err != nil || len(removed) != 1 || removed[0].Version != 0 {
		t.Errorf("watch of a removal: %+v, %v", removed, err)
	}
	wantError(t, s.Revoke(ctx, lease), nil)
}

func TestErrorsMapToPlatformErrors(t *testing.T) {
	s, fake := newStoreWithFake(t)
	ctx := context.Background()
	_, err := s.Get(ctx, "none")
	wantError(t, err, platform.ErrNotFound)
	_, err = s.Put(ctx, "k", nil, 7, 0)
	wantError(t, err, platform.ErrConflict)
	wantError(t, s.Delete(ctx, "k", 7), platform.ErrConflict)
	_, err = s.Put(ctx, "k", make([]byte, platform.MaxValueBytes+1), 0, 0)
	wantError(t, err, platform.ErrTooLarge)
	wantError(t, s.KeepAlive(ctx, 99), platform.ErrNotFound)
	fake.SetFaults(storetest.Faults{DropResponses: true})
	short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	_, err = s.Put(short, "k", nil, 0, 0)
	wantError(t, err, platform.ErrUnavailable)
	fake.SetFaults(storetest.Faults{})
	_, err = s.Get(ctx, "k")
	wantError(t, err, nil)
	fake.SetFaults(storetest.Faults{RefuseStatus: http.StatusServiceUnavailable})
	_, err = s.Get(ctx, "k")
	wantError(t, err, platform.ErrUnavailable)
}

func TestRateLimitedCallsAreRepeated(t *testing.T) {
	refusals := 3
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if refusals > 0 {
			refusals--
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		_, _ = io.WriteString(w, `{"revision":7}`)
	}))
	defer server.Close()
	s := newStore(t, server.Listener.Addr().String())
	version, err := s.Put(context.Background(), "k", nil, 0, 0)
	if err != nil || version != 7 {
		t.Errorf("got version %d, %v", version, err)
	}
	refusals = maxRetries + 1
	_, err = s.Get(context.Background(), "k")
	wantError(t, err, platform.ErrRateLimited)
}

func TestTruncatedResponseIsUnavailable(t *testing.T) {
	for _, body := range []string{`{"revision":`, `{"revision":7}` + strings.Repeat(" ", 100)} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if len(body) > 100 {
				w.Header().Set("Content-Length", "1000")
			}
			_, _ = io.WriteString(w, body)
		}))
		_, err := newStore(t, server.Listener.Addr().String()).Put(context.Background(), "k", nil, 0, 0)
		wantError(t, err, platform.ErrUnavailable)
		server.Close()
	}
}

func TestWatchAfterCompactionReturnsAllEntries(t *testing.T) {
	s, fake := newStoreWithFake(t)
	revision := fake.Put("p/k", []byte("v"))
	fake.Compact()
	changed, newest, err := s.Watch(context.Background(), "p/", 0)
	if err != nil || len(changed) != 1 || newest != revision {
		t.Errorf("got %+v up to %d, %v", changed, newest, err)
	}
}

func TestVMsListsRegisteredServers(t *testing.T) {
	s, fake := newStoreWithFake(t)
	const info = `"address":"10.0.0.1:80","info":{"service":"desk","zone":"lj-a","slots":3}`
	fake.Put("servers/a", []byte(`{`+info+`,"status":{"state":"ready","cold_left_ms":0}}`))
	fake.Put("servers/b", []byte(`{`+info+`,"status":{"state":"draining","cold_left_ms":0}}`))
	fake.Put("servers/c", []byte(`not JSON`))
	vms, err := s.VMs(context.Background())
	if err != nil || len(vms) != 2 {
		t.Fatalf("got %+v, %v", vms, err)
	}
	want := platform.VM{ID: "a", Role: platform.RoleBackend, Zone: model.Zone("lj-a"), Address: "10.0.0.1:80", Service: "desk", State: platform.VMLive}
	if vms[0] != want || vms[1].State != platform.VMLeaving {
		t.Errorf("got %+v", vms)
	}
}

// TestWatchContinuesAfterARestore guards against watches that miss the changes of a store
// that went back and gives its revisions out again.
func TestWatchContinuesAfterARestore(t *testing.T) {
	for _, again := range []int{2, 5} {
		t.Run(fmt.Sprint(again, " changes after the restore"), func(t *testing.T) {
			store, fake := newStoreWithFake(t)
			fake.Put("head", []byte("a"))
			backup := fake.Backup()
			for range 3 {
				fake.Put("head", []byte("lost"))
			}
			_, after, err := store.Watch(t.Context(), "head", 0)
			if err != nil {
				t.Fatal(err)
			}
			fake.Restore(backup)
			for i := range again {
				fake.Put("head", fmt.Append(nil, "again-", i))
			}
			entries, latest, err := store.Watch(t.Context(), "head", after)
			if err != nil {
				t.Fatal(err)
			}
			want := fmt.Sprint("again-", again-1)
			if len(entries) != 1 || string(entries[0].Value) != want {
				t.Fatalf("got %v, want %s", entries, want)
			}
			fake.Put("head", []byte("next"))
			if entries, _, err = store.Watch(t.Context(), "head", latest); err != nil || len(entries) != 1 || string(entries[0].Value) != "next" {
				t.Errorf("got %v, %v; want the next change", entries, err)
			}
		})
	}
}
