package pick

import (
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/share"
)

// remoteMaxAge is how long the counts from another VM are used: four of its
// sending intervals.
const remoteMaxAge = 400 * time.Millisecond

// vmCounts holds the outstanding requests that another VM last reported.
type vmCounts struct {
	counts     share.Counts
	receivedAt time.Time
}

// Outstanding returns the number of this VM's outstanding requests at each server
// that has any.
func (f *Fleet) Outstanding() share.Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := share.Counts{}
	for _, server := range f.servers {
		if server.outstanding > 0 {
			counts[server.hash] = server.outstanding
		}
	}
	return counts
}

// SetRemoteCounts replaces the outstanding requests of another VM.
func (f *Fleet) SetRemoteCounts(vm model.VMID, counts share.Counts, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addRemoteCounts(f.remoteByVM[vm].counts, -1)
	f.addRemoteCounts(counts, 1)
	f.remoteByVM[vm] = vmCounts{counts, now}
}

// ExpireRemoteCounts removes the counts that are at least remoteMaxAge old.
func (f *Fleet) ExpireRemoteCounts(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for vm, received := range f.remoteByVM {
		if now.Sub(received.receivedAt) >= remoteMaxAge {
			f.addRemoteCounts(received.counts, -1)
			delete(f.remoteByVM, vm)
		}
	}
}

// addRemoteCounts adds counts, multiplied by sign, to the totals. The caller must
// hold f.mu.
func (f *Fleet) addRemoteCounts(counts share.Counts, sign int) {
	for hash, count := range counts {
		f.remoteTotals[hash] += sign * count
		if f.remoteTotals[hash] <= 0 {
			delete(f.remoteTotals, hash)
		}
	}
}
