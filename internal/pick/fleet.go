// Package pick chooses the backend server of a request. Requests for one
// object meet at the same server from every entry VM, because servers are
// faster on objects that they handled recently; they move on along the
// object's ranking only when that server's queue is long.
package pick

import (
	"slices"
	"sync"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/share"
)

// Report is what a server last said of its load.
type Report struct {
	Running, Waiting, Slots int
}

// Server is the state of one server process at this VM.
type Server struct {
	*catalog.Server

	hash        uint64
	outstanding int
	report      Report
	reportedAt  time.Time
	coldUntil   time.Time
	coldSends   []time.Time
	health      health
	// gone marks a server that the snapshot no longer has.
	gone bool
}

// Fleet holds the state of all servers. It is safe for concurrent use.
type Fleet struct {
	options Options

	mu      sync.Mutex
	servers map[model.ServerID]*Server
	byGroup map[model.ServiceName][]*Server
	memory  memory
	// remotes holds what other VMs told, and remote its sum by server.
	remotes map[model.VMID]remote
	remote  share.Counts
	config  *catalog.Config
	// tolerant holds the names of routes that tolerate latency.
	tolerant map[string]bool
	// evacuated is the set of zones at the last snapshot.
	evacuated map[model.Zone]bool
	vms       []model.VMID
}

// Options configure a Fleet.
type Options struct {
	Self   model.VMID
	Region model.Region
	// ColdFactor and ColdSlack widen the rate that a cold server stands.
	ColdFactor, ColdSlack float64
	// OnEject, if not nil, is told of each ejection. It must not block nor call
	// the Fleet.
	OnEject func(Ejection)
}

// Ejection says that a server gets nothing for a while, and why.
type Ejection struct {
	Server   *catalog.Server
	Duration time.Duration
	// Lost counts the requests without an answer since the last answer.
	Unanswered int
	// FailureRate is the share of failures among the last requests.
	FailureRate float64
}

// NewFleet returns a Fleet without servers.
func NewFleet(options Options) *Fleet {
	if options.OnEject == nil {
		options.OnEject = func(Ejection) {}
	}
	return &Fleet{options: options, servers: map[model.ServerID]*Server{}, byGroup: map[model.ServiceName][]*Server{}, memory: newMemory(), remotes: map[model.VMID]remote{}, remote: share.Counts{}}
}

// SetVMs tells which entry VMs share the rates of cold servers.
func (f *Fleet) SetVMs(vms []catalog.VM) {
	names := make([]model.VMID, 0, len(vms))
	for _, vm := range vms {
		names = append(names, vm.Name)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = names
}

// SetSnapshot brings the fleet to a new snapshot and returns the servers that
// left.
func (f *Fleet) SetSnapshot(snapshot *catalog.Snapshot, now time.Time) []*catalog.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config != snapshot.Config {
		f.config, f.tolerant = snapshot.Config, tolerantRoutes(snapshot.Config)
	}
	back := f.takenBack(snapshot.EvacuatedZones)
	seen := make(map[model.ServerID]bool, len(f.servers))
	f.byGroup = make(map[model.ServiceName][]*Server, len(snapshot.Servers))
	for service, list := range snapshot.Servers {
		for _, listed := range list {
			server := f.update(listed, now)
			if back[listed.Zone] {
				f.setCold(server, f.coldFor(service), now)
			}
			seen[listed.ID] = true
			f.byGroup[service] = append(f.byGroup[service], server)
		}
	}
	return f.dropUnseen(seen)
}

// takenBack returns the zones whose evacuation ended. Their servers may have
// turned cold without having said so yet.
func (f *Fleet) takenBack(evacuated map[model.Zone]bool) map[model.Zone]bool {
	back := map[model.Zone]bool{}
	for zone := range f.evacuated {
		if !evacuated[zone] {
			back[zone] = true
		}
	}
	f.evacuated = evacuated
	return back
}

func (f *Fleet) update(listed *catalog.Server, now time.Time) *Server {
	server, known := f.servers[listed.ID]
	if known && (server.Started != listed.Started || server.Address != listed.Address) {
		server.gone = true
		known = false
	}
	if !known {
		server = &Server{Server: listed, hash: hashOf(string(listed.ID))}
		f.servers[listed.ID] = server
		f.setCold(server, listed.ColdRemaining, now)
		return server
	}
	if server.Server != listed {
		server.Server = listed
		f.setCold(server, listed.ColdRemaining, now)
	}
	return server
}

func (f *Fleet) setCold(server *Server, left time.Duration, now time.Time) {
	if until := now.Add(left); left > 0 && until.After(server.coldUntil) {
		server.coldUntil = until
	}
}

func (f *Fleet) coldFor(service model.ServiceName) time.Duration {
	if f.config == nil {
		return 0
	}
	return f.config.Services[service].ColdDuration
}

func (f *Fleet) dropUnseen(seen map[model.ServerID]bool) []*catalog.Server {
	var left []*catalog.Server
	for id, server := range f.servers {
		if !seen[id] {
			server.gone = true
			left = append(left, server.Server)
			delete(f.servers, id)
		}
	}
	return left
}

// Sizes returns the count of servers by service.
func (f *Fleet) ServerCounts() map[model.ServiceName]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sizes := make(map[model.ServiceName]int, len(f.byGroup))
	for service, list := range f.byGroup {
		sizes[service] = len(list)
	}
	return sizes
}

func allowed(server *Server, regions []model.Region) bool {
	return len(regions) == 0 || slices.Contains(regions, server.Region)
}
