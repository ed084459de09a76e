package directory

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/decisions"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/platform"

	"github.com/uber-go/tally/v4"
)

var alive = []catalog.VM{
	{Name: "a", Region: "lj", Zone: "lj-a", Front: "10.0.0.1:1"},
	{Name: "b", Region: "lj", Zone: "lj-b", Front: "10.0.0.2:1"},
	{Name: "c", Region: "mb", Zone: "mb-a", Front: "10.0.0.3:1"},
}

func lookup(t *testing.T, vms []catalog.VM, ready bool, query string) (int, platform.ResolveResponse) {
	t.Helper()
	h := New(Options{
		Alive: func() []catalog.VM { return vms }, Ready: func() bool { return ready }, MaxTTL: time.Second,
		Log: decisions.Discard(), Scope: tally.NoopScope,
	})
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, platform.PathResolve+query, nil))
	var answer platform.ResolveResponse
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
		{"no VM alive", "?name=h&region=lj&zone=lj-a", nil, true, 503, 0},
		{"this VM is not ready", "?name=h&region=lj&zone=lj-a", alive, false, 503, 0},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			status, answer := lookup(t, tt.vms, tt.ready, tt.query)
			if status != tt.status || len(answer.Addresses) != tt.want {
				t.Errorf("got %d with %v", status, answer.Addresses)
			}
			if status == 200 && answer.TTL != 1 {
				t.Errorf("TTL of %v s, want the maximum of 1", answer.TTL)
			}
		})
	}
}

func TestWeakVMsAreReturnedOnlyWithoutStrongOnes(t *testing.T) {
	vm := func(name string, link, cpu float64) catalog.VM {
		return catalog.VM{Name: model.VMID(name), Region: "lj", LinkMbps: link, CPUShare: cpu}
	}
	tests := []struct {
		desc string
		vms  []catalog.VM
		want string
	}{
		{"strong and weak links", []catalog.VM{vm("a", 10, 1), vm("b", 200, 1), vm("c", 200, 1), vm("d", 10, 1)}, "bc"},
		{"weak processor", []catalog.VM{vm("a", 200, 0.1), vm("b", 200, 1), vm("c", 200, 1)}, "bc"},
		{"half the capacity", []catalog.VM{vm("a", 1000, 0.32), vm("b", 2000, 0.64), vm("c", 1000, 0.32)}, "abc"},
		{"one strong VM is not enough", []catalog.VM{vm("a", 10, 1), vm("b", 200, 1)}, "ab"},
		{"all weak", []catalog.VM{vm("a", 10, 1), vm("b", 10, 1), vm("c", 10, 1)}, "abc"},
		{"unknown capacity", []catalog.VM{vm("a", 0, 0), vm("b", 0, 0), vm("c", 0, 0)}, "abc"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var names []string
			for _, chosen := range Choose(tt.vms, "lj") {
				names = append(names, string(chosen.Name))
			}
			slices.Sort(names)
			if got := strings.Join(names, ""); got != tt.want {
				t.Errorf("chose %s, want %s", got, tt.want)
			}
		})
	}
}
