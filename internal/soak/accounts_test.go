package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// keyMark is part of every key, so that a key is found wherever it appears.
	keyMark = "soak-key-"
	// farRegion is the region of one server of each service. It has no entry VM.
	farRegion = "q"
	// claimedAccount is what every client sends in the header that names the account to
	// the servers.
	claimedAccount = "claimed"
	rotatedAccount = "rotated"

	// quotaWindow, quotaExcess and quotaSlack are the documented bound of an account's
	// requests over all VMs.
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
	// withdrawalBound is the documented time within which a withdrawn key loses effect.
	withdrawalBound = 3 * time.Second
	// rotateChance is the chance that a fault is accompanied by a change of the keys.
	rotateChance = 0.15
)

// account is a client account as configurations state it.
type account struct {
	Keys    []string `json:"api_keys"`
	Rate    float64  `json:"rate_per_s,omitempty"`
	Burst   float64  `json:"burst_size,omitempty"`
	Regions []string `json:"allowed_regions,omitempty"`
}

// accounts are the accounts of all configurations. Only the keys of rotatedAccount change.
var accounts = map[string]account{
	"open":   {Keys: []string{stableKey("open")}},
	"steady": {Keys: []string{stableKey("steady")}, Rate: 40, Burst: 20},
	// Its two clients send several times as many requests.
	"greedy":       {Keys: []string{stableKey("greedy")}, Rate: 4, Burst: 4},
	"far":          {Keys: []string{stableKey("far")}, Regions: []string{farRegion}},
	rotatedAccount: {},
}

func stableKey(account string) string { return keyMark + account }

// wrongKeys are in no configuration. Some resemble keys that are.
var wrongKeys = []string{
	keyMark + "wrong", stableKey("open") + "x", strings.ToUpper(stableKey("open")), strings.TrimSuffix(stableKey("open"), "n"), "open",
}

// accountOf returns the account that holds key in any configuration, or "" if none does.
func accountOf(key string) string {
	if strings.HasPrefix(key, stableKey(rotatedAccount)+"-") {
		return rotatedAccount
	}
	for name, a := range accounts {
		if slices.Contains(a.Keys, key) {
			return name
		}
	}
	return ""
}

// accountKeys holds the keys of rotatedAccount, which change while faults are injected.
type accountKeys struct {
	// random is separate, so that each seed still plays the other faults as before.
	random *rand.Rand

	mu sync.Mutex
	// generation is the number of the current key. The one before it has been withdrawn.
	generation int
	// withdrawnKey was withdrawn at withdrawnAt, with no fault active.
	withdrawnKey string
	withdrawnAt  time.Time
}

func newAccountKeys(seed uint64) *accountKeys {
	return &accountKeys{random: rand.New(rand.NewPCG(seed, 11)), generation: 1}
}

// key returns the current key, or with age 1 the one that was withdrawn last.
func (k *accountKeys) key(age int) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return fmt.Sprintf("%s-%d", stableKey(rotatedAccount), max(k.generation-age, 1))
}

// document returns the accounts as part of a configuration.
func (k *accountKeys) document() []byte {
	all := map[string]account{}
	for name, a := range accounts {
		all[name] = a
	}
	all[rotatedAccount] = account{Keys: []string{k.key(0)}}
	text, err := json.Marshal(all)
	if err != nil {
		panic(err)
	}
	return text
}

// maybeRotateKey replaces the key of rotatedAccount with rotateChance.
func (h *harness) maybeRotateKey() {
	if h.keys.random.Float64() < rotateChance {
		h.rotateKey()
	}
}

// rotateKey withdraws the key of rotatedAccount, adds another one, and returns the
// withdrawn one.
func (h *harness) rotateKey() string {
	h.operator.Lock()
	defer h.operator.Unlock()
	withdrawn := h.keys.key(0)
	h.keys.mu.Lock()
	h.keys.generation++
	h.keys.mu.Unlock()
	h.writeConfiguration()
	return withdrawn
}

// withdrawKeyTimed withdraws a key while no fault is active, and waits until clients have
// sent it for a while after withdrawalBound.
func (h *harness) withdrawKeyTimed() {
	key := h.rotateKey()
	h.keys.mu.Lock()
	h.keys.withdrawnKey, h.keys.withdrawnAt = key, time.Now()
	h.keys.mu.Unlock()
	time.Sleep(withdrawalBound + drainObservation)
}

// assignAccount decides which account a client uses, by its number.
func (h *harness) assignAccount(c *client) {
	name := "open"
	switch c.number {
	case 8, 9:
		name = "steady"
	case 10, 11:
		name = "greedy"
	case 12:
		name = "far"
	case 13:
		c.chooseKey = func() string { return h.keys.key(c.random.IntN(2)) }
		return
	case 14:
		c.chooseKey = func() string { return wrongKeys[c.random.IntN(len(wrongKeys))] }
		return
	case 15:
		return
	case 16, 17:
		c.pipelined = true
	}
	c.chooseKey = func() string { return stableKey(name) }
}

// mayDeny reports whether a request may be refused with the status of its result, which
// says that the key is unknown or that the account is at its limit.
func mayDeny(result requestResult) bool {
	name := accountOf(result.key)
	if result.status == http.StatusTooManyRequests {
		return accounts[name].Rate > 0
	}
	return !result.exempt && (name == "" || name == rotatedAccount)
}

// violations returns the guarantees that one request violated, given its executions.
func (k *accountKeys) violations(result requestResult, executions []execution) []string {
	found := violations(result, len(executions))
	name := accountOf(result.key)
	regions := accounts[name].Regions
	for _, e := range executions {
		if name == "" && !result.exempt {
			found = append(found, "KEY: executed with an unknown key")
		}
		if e.account != name {
			found = append(found, fmt.Sprintf("ACCOUNT: server was told %q, want %q", e.account, name))
		}
		if len(regions) > 0 && !slices.Contains(regions, e.region) {
			found = append(found, fmt.Sprintf("REGION: executed in %q, account %s may use %q", e.region, name, regions))
		}
		if result.key != "" && result.key == k.withdrawnKey && result.sentAt.Sub(k.withdrawnAt) >= withdrawalBound {
			found = append(found, fmt.Sprintf("WITHDRAWN: sent %s after the withdrawal of its key", result.sentAt.Sub(k.withdrawnAt)))
		}
	}
	return found
}

// checkAccounts checks what all requests of an account, or of all, show together.
func (h *harness) checkAccounts() {
	for _, id := range h.executions.leaks {
		h.t.Errorf("LEAK: a server received a key with request %q", id)
	}
	times := map[string][]time.Time{}
	for id, executions := range h.executions.byID {
		for _, e := range executions {
			times[e.account] = append(times[e.account], e.at)
			if strings.HasPrefix(id, "probe-") && e.account != "" {
				h.t.Errorf("ACCOUNT: server was told %q for a probe without a key", e.account)
			}
		}
	}
	for name, a := range accounts {
		most, start := busiestWindow(times[name])
		h.t.Logf("account %s: %d executions, at most %d within %s", name, len(times[name]), most, quotaWindow)
		if bound := (a.Rate*quotaWindow.Seconds()+a.Burst)*(1+quotaExcess) + quotaSlack; a.Rate > 0 && float64(most) > bound {
			h.t.Errorf("LIMIT: %d executions of account %s within %s from %s, want at most %g", most, name, quotaWindow, start.Format(time.RFC3339Nano), bound)
		}
	}
}

// busiestWindow returns the largest number of times within quotaWindow and the first of them.
func busiestWindow(times []time.Time) (most int, start time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, t := range times {
		for t.Sub(times[first]) > quotaWindow {
			first++
		}
		if n := i - first + 1; n > most {
			most, start = n, times[first]
		}
	}
	return most, start
}

// TestAccountViolations checks that the oracles of accounts report each kind of violation.
func TestAccountViolations(t *testing.T) {
	now := time.Now()
	keys := newAccountKeys(1)
	keys.withdrawnKey, keys.withdrawnAt = keys.key(0), now
	late := now.Add(withdrawalBound)
	tests := []struct {
		desc      string
		result    requestResult
		execution execution
		want      string
	}{
		{"own account", requestResult{key: stableKey("open")}, execution{account: "open", region: "r"}, ""},
		{"exempt without key", requestResult{exempt: true}, execution{region: "r"}, ""},
		{"exempt with claimed account", requestResult{exempt: true}, execution{account: claimedAccount}, "ACCOUNT"},
		{"other account", requestResult{key: stableKey("open")}, execution{account: "greedy"}, "ACCOUNT"},
		{"unknown key", requestResult{key: wrongKeys[0]}, execution{}, "KEY"},
		{"allowed region", requestResult{key: stableKey("far")}, execution{account: "far", region: farRegion}, ""},
		{"other region", requestResult{key: stableKey("far")}, execution{account: "far", region: "r"}, "REGION"},
		{"withdrawn just now", requestResult{key: keys.key(0), sentAt: late.Add(-1)}, execution{account: rotatedAccount}, ""},
		{"withdrawn", requestResult{key: keys.key(0), sentAt: late}, execution{account: rotatedAccount}, "WITHDRAWN"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			tt.result.status = http.StatusOK
			got := strings.Join(keys.violations(tt.result, []execution{tt.execution}), "; ")
			if (tt.want == "") != (got == "") || !strings.HasPrefix(got, tt.want) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
	if most, _ := busiestWindow([]time.Time{now.Add(6 * time.Second), now, now.Add(5 * time.Second), now.Add(2 * time.Second)}); most != 3 {
		t.Errorf("busiest window has %d executions, want 3", most)
	}
}
