package pick

import (
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/share"
)

// remoteFor is how long the counts of another VM are used: four of its
// messages.
const remoteFor = 400 * time.Millisecond

// remote is what one other VM has told of its requests.
type remote struct {
	counts share.Counts
	at     time.Time
}

// Outstanding returns this VM's requests at each server.
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

// SetRemote replaces what another VM has told.
func (f *Fleet) SetRemote(vm model.VMID, counts share.Counts, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addRemote(f.remotes[vm].counts, -1)
	f.addRemote(counts, 1)
	f.remotes[vm] = remote{counts, now}
}

// ExpireRemote forgets what VMs told longer ago than remoteFor.
func (f *Fleet) ExpireRemote(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for vm, told := range f.remotes {
		if now.Sub(told.at) >= remoteFor {
			f.addRemote(told.counts, -1)
			delete(f.remotes, vm)
		}
	}
}

// addRemote holds mu.
func (f *Fleet) addRemote(counts share.Counts, sign int) {
	for hash, count := range counts {
		f.remote[hash] += sign * count
		if f.remote[hash] <= 0 {
			delete(f.remote, hash)
		}
	}
}
