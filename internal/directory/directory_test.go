package directory

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/decisions"
	"fuchsiaspar/platform"

	"github.com/uber-go/tally/v4"
)

var alive = []catalog.VM{
	{Name: "a", Region: "lj", Zone: "lj-a", Front: "10.0.0.1:1"},
	{Name: "b", Region: "lj", Zone: "lj-b", Front: "10.0.0.2:1"},
	{Name: "c", Region: "mb", Zone: "mb-a", Front: "10.0.0.3:1"},
}

func lookup(t *testing.T, vms []catalog.VM, ready bool, query string) (int, platform.ResolveAnswer) {
	t.Helper()
	h := New(Options{
		Alive: func() []catalog.VM { return vms }, Ready: func() bool { return ready }, MaxTTL: time.Second,
		Log: decisions.Discard(), Scope: tally.NoopScope,
	})
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, platform.PathResolve+query, nil))
	var answer platform.ResolveAnswer
	if w.Code == http.StatusOK {
		if err := json.Unmarshal(w.Body.Bytes(), &answer); err != nil {
			t.Fatal(err)
		}
	}
	return w.Code, answer
}

func TestLookup(t *testing.T) {
	tests := []struct {
		desc, query string
		vms         []catalog.VM
		ready       bool
		status      int
		want        int
	}{
		{"own region", "?name=h&region=lj&zone=lj-a", alive, true, 200, 2},
		{"another region", "?name=h&region=mb&zone=mb-a", alive, true, 200, 1},
		{"a region without VMs", "?name=h&region=kp&zone=kp-a", alive, true, 200, 3},
		{"nobody serves", "?name=h&region=lj&zone=lj-a", nil, true, 503, 0},
		{"this VM does not know yet", "?name=h&region=lj&zone=lj-a", alive, false, 503, 0},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			status, answer := lookup(t, tt.vms, tt.ready, tt.query)
			if status != tt.status || len(answer.Addresses) != tt.want {
				t.Errorf("got %d with %v", status, answer.Addresses)
			}
			if status == 200 && answer.TTL != 1 {
				t.Errorf("valid for %v s, want the allowed 1", answer.TTL)
			}
		})
	}
}
