package pick

import "fuchsiaspar/internal/share"

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

// AddRemoteCounts changes the outstanding requests of all other VMs together.
func (f *Fleet) AddRemoteCounts(changes share.Counts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for hash, change := range changes {
		f.remoteTotals[hash] += change
		if f.remoteTotals[hash] <= 0 {
			delete(f.remoteTotals, hash)
		}
	}
}
