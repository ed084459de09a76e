// Package directory answers clients that ask which entry VMs to use.
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
	// answerTTL is how long clients keep an answer. A shorter time finds new
	// VMs sooner, at the price of more look-ups.
	answerTTL = 2 * time.Second
	// maxAddresses is the count of addresses that clients take from an answer.
	maxAddresses = 64
	// minNamed is the least count of VMs named, so that clients have another
	// one when a VM fails.
	minNamed = 2
)

// Options configure a Handler.
type Options struct {
	// Alive returns the entry VMs that serve.
	Alive func() []catalog.VM
	// Ready says whether this VM serves and so can tell.
	Ready  func() bool
	MaxTTL time.Duration
	Log    *decisions.Log
	Scope  tally.Scope
}

// Handler serves look-ups.
type Handler struct {
	opts            Options
	answers, unsure tally.Counter
}

// New returns a Handler.
func New(opts Options) *Handler {
	return &Handler{opts: opts, answers: opts.Scope.Counter("lookups"), unsure: opts.Scope.Counter("lookups_refused")}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	chosen := Choose(h.opts.Alive(), model.Region(query.Get("region")))
	if len(chosen) == 0 || !h.opts.Ready() {
		h.unsure.Inc(1)
		http.Error(w, "no entry VM is known to serve", http.StatusServiceUnavailable)
		return
	}
	answer := platform.ResolveResponse{TTL: min(answerTTL, h.opts.MaxTTL).Seconds()}
	for _, vm := range chosen {
		answer.Addresses = append(answer.Addresses, vm.Front)
	}
	h.answers.Inc(1)
	h.opts.Log.Served("lookup", "name", query.Get("name"), "zone", query.Get("zone"), "addresses", len(chosen))
	w.Header().Set("Content-Type", "application/json")
	// A client that left has no use for the answer.
	_ = json.NewEncoder(w).Encode(answer)
}

// Choose returns the VMs for a client: the able ones of its region, or of all
// regions where its own has none.
func Choose(alive []catalog.VM, region model.Region) []catalog.VM {
	var near []catalog.VM
	for _, vm := range alive {
		if vm.Region == region {
			near = append(near, vm)
		}
	}
	if len(near) == 0 {
		near = slices.Clone(alive)
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	near = able(near)
	return near[:min(len(near), maxAddresses)]
}

// able returns the VMs that can take an equal share of the clients, since
// clients spread evenly over the named ones. It returns the strongest minNamed
// at least.
func able(vms []catalog.VM) []catalog.VM {
	strongest := catalog.MaxCapacity(vms)
	slices.SortStableFunc(vms, func(a, b catalog.VM) int {
		return cmp.Compare(strongest.Fraction(b), strongest.Fraction(a))
	})
	for i, vm := range vms {
		if i >= minNamed && !strongest.CanTakeEqualShare(vm) {
			return vms[:i]
		}
	}
	return vms
}
