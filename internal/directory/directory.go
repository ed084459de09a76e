// Package directory serves look-ups, in which clients ask for the addresses of
// entry VMs.
package directory

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/decisions"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/platform"

	"github.com/uber-go/tally/v4"
)

const (
	// lookupTTL is how long clients use an answer. With a shorter time they find
	// new VMs sooner and make more look-ups.
	lookupTTL = 2 * time.Second
	// maxAddresses is the number of addresses that clients accept in an answer.
	maxAddresses = 64
	// minAddresses is the least number of VMs in an answer, if as many are alive,
	// so that clients have an alternative when a VM fails.
	minAddresses = 2
)

// Options configures a Handler.
type Options struct {
	// Alive returns the entry VMs that are known to be alive.
	Alive func() []catalog.VM
	// Ready reports whether this VM is serving. Until then it refuses look-ups,
	// because its view of the other VMs may be incomplete.
	Ready func() bool
	// MaxTTL is the longest time that an answer may be valid.
	MaxTTL time.Duration
	Log    *decisions.Log
	Scope  tally.Scope
}

// Handler is the http.Handler for look-ups. It is safe for concurrent use.
type Handler struct {
	opts              Options
	answered, refused tally.Counter
}

// New returns a Handler.
func New(opts Options) *Handler {
	return &Handler{opts: opts, answered: opts.Scope.Counter("lookups"), refused: opts.Scope.Counter("lookups_refused")}
}

// ServeHTTP implements http.Handler. It answers with the addresses of entry VMs for
// the region in the query, or with status 503 if it knows none.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	chosen := Choose(h.opts.Alive(), model.Region(query.Get("region")))
	if len(chosen) == 0 || !h.opts.Ready() {
		h.refused.Inc(1)
		http.Error(w, "no entry VM is known to serve", http.StatusServiceUnavailable)
		return
	}
	answer := platform.ResolveResponse{TTL: min(lookupTTL, h.opts.MaxTTL).Seconds()}
	for _, vm := range chosen {
		answer.Addresses = append(answer.Addresses, vm.Front)
	}
	h.answered.Inc(1)
	h.opts.Log.Served("lookup", "name", query.Get("name"), "zone", query.Get("zone"), "addresses", len(chosen))
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client disconnected.
	_ = json.NewEncoder(w).Encode(answer)
}

// Choose returns the VMs for a client in region, at most maxAddresses of them:
// those of the region, or those of all regions if the region has none, without
// the weak ones (see dropWeak). VMs of equal capacity come in random order.
func Choose(alive []catalog.VM, region model.Region) []catalog.VM {
	var candidates []catalog.VM
	for _, vm := range alive {
		if vm.Region == region {
			candidates = append(candidates, vm)
		}
	}
	if len(candidates) == 0 {
		candidates = slices.Clone(alive)
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	candidates = dropWeak(candidates)
	return candidates[:min(len(candidates), maxAddresses)]
}

// dropWeak sorts vms by descending capacity and returns those with enough capacity
// for an equal share of the clients, because clients spread evenly over the
// addresses. It keeps at least the minAddresses strongest.
func dropWeak(vms []catalog.VM) []catalog.VM {
	strongest := catalog.MaxCapacity(vms)
	slices.SortStableFunc(vms, func(a, b catalog.VM) int {
		return cmp.Compare(strongest.Fraction(b), strongest.Fraction(a))
	})
	for i, vm := range vms {
		if i >= minAddresses && !strongest.CanTakeEqualShare(vm) {
			return vms[:i]
		}
	}
	return vms
}
