package front

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/platform"
)

// accountConfig has two accounts, one of which may use region "kp" only, a route that
// needs a key and one that needs none.
func accountConfig(t *testing.T) *catalog.Config {
	t.Helper()
	config := &catalog.Config{Services: map[model.ServiceName]catalog.Service{"desk": {}}}
	target := []catalog.WeightedService{{Service: "desk", Weight: 1}}
	config.Routes = []catalog.Route{
		{Name: "keyed", Host: "h.example", Prefix: "/read/", Kind: catalog.Idempotent, MaxAttempts: 2, Timeout: time.Second, Targets: target},
		{Name: "open", Host: "h.example", Prefix: "/open/", Kind: catalog.Idempotent, MaxAttempts: 2, Timeout: time.Second, Targets: target, Exempt: true},
	}
	for _, account := range []struct {
		id, key string
		regions []model.Region
	}{{"everywhere", "key-1", nil}, {"homed", "key-2", []model.Region{"kp"}}} {
		if err := config.Accounts.Add(&catalog.Account{ID: model.AccountID(account.id), Regions: account.regions}, []string{account.key}); err != nil {
			t.Fatal(err)
		}
	}
	return config
}

// newRecordingServer returns a backend server that records the headers of its last request.
func newRecordingServer(t *testing.T, last *http.Header) *catalog.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*last = r.Header.Clone()
		serveOK(w, r)
	}))
	t.Cleanup(server.Close)
	return &catalog.Server{ID: "i-0", Service: "desk", Region: "mb", Address: server.Listener.Addr().String(), Slots: 3}
}

func sendWithHeaders(t *testing.T, front *httptest.Server, path string, h http.Header) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, front.URL+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host, req.Header = "h.example", h
	req.Header.Set(platform.HeaderRequestID, "id-1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Guards against requests that run without a valid key, as another account, or outside
// an account's regions, and against keys that reach a server.
func TestAccounts(t *testing.T) {
	forged := []string{"forged"}
	tests := []struct {
		desc    string
		path    string
		age     time.Duration
		header  http.Header
		status  int
		account string
	}{
		{"valid key", "/read/a", 0, http.Header{"Authorization": {"Bearer key-1"}}, 200, "everywhere"},
		{"scheme in lower case", "/read/a", 0, http.Header{"Authorization": {"bearer key-1"}}, 200, "everywhere"},
		{"valid key with an old copy", "/read/a", time.Minute, http.Header{"Authorization": {"Bearer key-1"}}, 200, "everywhere"},
		{"no key", "/read/a", 0, http.Header{}, 401, ""},
		{"unknown key", "/read/a", 0, http.Header{"Authorization": {"Bearer key-9"}}, 401, ""},
		{"two keys", "/read/a", 0, http.Header{"Authorization": {"Bearer key-1", "Bearer key-2"}}, 401, ""},
		{"another scheme", "/read/a", 0, http.Header{"Authorization": {"Basic key-1"}}, 401, ""},
		{"empty key", "/read/a", 0, http.Header{"Authorization": {"Bearer "}}, 401, ""},
		{"unknown key with an old copy", "/read/a", time.Minute, http.Header{"Authorization": {"Bearer key-9"}}, 503, ""},
		{"forged account", "/read/a", 0, http.Header{"Authorization": {"Bearer key-1"}, platform.HeaderAccount: forged}, 200, "everywhere"},
		{"forged twice", "/read/a", 0, http.Header{"Authorization": {"Bearer key-1"}, platform.HeaderAccount: {"a", "b"}}, 200, "everywhere"},
		{"forged in other case", "/read/a", 0, http.Header{"Authorization": {"Bearer key-1"}, strings.ToLower(platform.HeaderAccount): forged}, 200, "everywhere"},
		{"forged and listed in Connection", "/read/a", 0, http.Header{"Authorization": {"Bearer key-1"}, platform.HeaderAccount: forged, "Connection": {platform.HeaderAccount + ", Authorization"}}, 200, "everywhere"},
		{"forged and named as a trailer", "/read/a", 0, http.Header{"Authorization": {"Bearer key-1"}, platform.HeaderAccount: forged, "Trailer": {platform.HeaderAccount}}, 200, "everywhere"},
		{"exempt route without a key", "/open/a", 0, http.Header{}, 200, ""},
		{"exempt route with a key", "/open/a", 0, http.Header{"Authorization": {"Bearer key-1"}}, 200, "everywhere"},
		{"exempt route with an unknown key and a forged account", "/open/a", 0, http.Header{"Authorization": {"Bearer key-9"}, platform.HeaderAccount: forged}, 200, ""},
		{"no server in the account's regions", "/read/a", 0, http.Header{"Authorization": {"Bearer key-2"}}, 503, ""},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var received http.Header
			server := newRecordingServer(t, &received)
			front := startFrontWithAge(t, catalog.NewSnapshot(9, accountConfig(t), []*catalog.Server{server}, nil, nil), tt.age)
			if status := sendWithHeaders(t, front, tt.path, tt.header); status != tt.status {
				t.Fatalf("got status %d, want %d", status, tt.status)
			}
			if tt.status != http.StatusOK {
				if received != nil {
					t.Error("a refused request reached the server")
				}
				return
			}
			if got := strings.Join(received.Values(platform.HeaderAccount), "|"); got != tt.account {
				t.Errorf("the server got account %q, want %q", got, tt.account)
			}
			for name, values := range received {
				if strings.Contains(strings.Join(values, " "), "key-") {
					t.Errorf("the key reached the server in %s", name)
				}
			}
		})
	}
}

// Guards against requests that run after their key was withdrawn, on a connection that was
// open before.
func TestWithdrawnKeyEndsOnOpenConnections(t *testing.T) {
	var received http.Header
	server := newRecordingServer(t, &received)
	current := catalog.NewSnapshot(9, accountConfig(t), []*catalog.Server{server}, nil, nil)
	front := startFrontWith(t, func() *catalog.Snapshot { return current }, 0)
	header := func() http.Header { return http.Header{"Authorization": {"Bearer key-1"}} }
	if status := sendWithHeaders(t, front, "/read/a", header()); status != http.StatusOK {
		t.Fatalf("got status %d before the withdrawal", status)
	}
	without := *current.Config
	without.Accounts = catalog.Accounts{}
	if err := without.Accounts.Add(&catalog.Account{ID: "everywhere"}, nil); err != nil {
		t.Fatal(err)
	}
	current = catalog.NewSnapshot(10, &without, []*catalog.Server{server}, nil, nil)
	if status := sendWithHeaders(t, front, "/read/a", header()); status != http.StatusUnauthorized {
		t.Errorf("got status %d after the withdrawal, want 401", status)
	}
}
