package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"fuchsiaspar/platform"
)

const (
	// restoreChance is the chance that a fault is accompanied by a restore of the store.
	restoreChance = 0.1
	// maxBackupAge and maxRewriteDelay bound, in milliseconds, how old the copy is from
	// which the store is restored, and how long its writers take to write again.
	maxBackupAge, maxRewriteDelay = 3000, 800
	// lapseDelay is the time after which the entries of servers that are gone lapse.
	lapseDelay = 2 * time.Second
)

// restorer restores the store from older copies. It has a random source of its own, so
// that the other faults of a seed stay the same.
type restorer struct {
	harness *harness
	random  *rand.Rand
	// running is held during a restore, since each has its own copy.
	running sync.Mutex
}

func newRestorer(h *harness, seed uint64) *restorer {
	return &restorer{harness: h, random: rand.New(rand.NewPCG(seed, 7))}
}

// maybeRestore starts a restore with restoreChance.
func (r *restorer) maybeRestore() {
	age := time.Duration(r.random.IntN(maxBackupAge)) * time.Millisecond
	delay := time.Duration(r.random.IntN(maxRewriteDelay)) * time.Millisecond
	if r.random.Float64() < restoreChance {
		r.harness.runInBackground(func() { r.restore(age, delay) })
	}
}

// restore restores the store from a copy that is age old. After delay, the operator and
// the backend servers write again what they wrote last, and the entries of servers that
// are gone lapse.
func (r *restorer) restore(age, delay time.Duration) {
	r.running.Lock()
	defer r.running.Unlock()
	h := r.harness
	backup := h.store.Backup()
	time.Sleep(age)
	h.store.Restore(backup)
	time.Sleep(delay)
	h.rewriteConfiguration()
	current := map[string]bool{}
	for _, b := range h.backends {
		b.rewriteEntry()
		current[platform.PrefixServers+b.currentInstance()] = true
	}
	time.Sleep(lapseDelay)
	for _, b := range h.backends {
		current[platform.PrefixServers+b.currentInstance()] = true
	}
	for _, key := range h.store.Keys(platform.PrefixServers) {
		if !current[key] {
			h.store.Delete(key)
		}
	}
}

// rewriteConfiguration writes the newest configuration again.
func (h *harness) rewriteConfiguration() {
	h.operator.Lock()
	defer h.operator.Unlock()
	h.store.Put(platform.KeyConfig, h.configDocument)
}

// rewriteEntry writes the server's last entry again.
func (b *backend) rewriteEntry() {
	b.registration.Lock()
	defer b.registration.Unlock()
	b.store.Put(platform.PrefixServers+b.currentInstance(), b.entry)
}
