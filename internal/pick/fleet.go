// Package pick is the load balancer: it chooses the backend server for each
// request. Every entry VM ranks the servers for an object by rendezvous hashing
// and therefore sends requests for the same object to the same server, because
// servers are faster on objects that they handled recently. A request goes to a
// lower-ranked server only when the cost of the higher-ranked ones (load,
// failures, cold start) exceeds the cost of a cache miss.
package pick

import (
	"sync"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/concurrency"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/share"
)

// Report is a server's own statement of its load.
type Report struct {
	// Running and Waiting count requests; Slots is how many run at once.
	Running, Waiting, Slots int
	// Slowness is how many times as long as usual the server's machine takes for
	// a piece of work; zero if unknown.
	Slowness float64
}

// Server is the state that this entry VM keeps about one backend server process.
type Server struct {
	*catalog.Server

	hash        uint64
	outstanding int
	report      Report
	reportedAt  time.Time
	slowness    slowness
	// estimator is nil unless Options.LearnCapacity is set.
	estimator *concurrency.Estimator
	// sent counts the requests that this VM has sent to the server.
	sent      uint64
	limit     requestLimit
	coldUntil time.Time
	coldSends []time.Time
	// coldSender reports whether this VM may send to the server while it is cold,
	// as of senderGeneration of the entry VMs.
	coldSender       bool
	senderGeneration uint64
	health           health
	// withdrawal is nil for a server that has never said that it takes no requests.
	withdrawal *withdrawal
	// removed marks a server that is no longer in the snapshot.
	removed bool
}

// Fleet holds the state of all backend servers. It is safe for concurrent use.
type Fleet struct {
	options Options

	mu      sync.Mutex
	servers map[model.ServerID]*Server
	// byHash holds the servers by the hash under which VMs report them.
	byHash    map[uint64]*Server
	byService map[model.ServiceName][]candidate
	// estimates holds the estimates of each service if Options.LearnCapacity is set.
	estimates map[model.ServiceName]*concurrency.Service
	uses      useLog
	// remoteTotals holds the outstanding requests of all other VMs together.
	remoteTotals share.Counts
	config       *catalog.Config
	// tolerant is the set of names of latency-tolerant routes.
	tolerant map[string]bool
	// byObjective reports that requests which would be late are refused, by the work times.
	byObjective bool
	work        workTimes
	// evacuated is the set of evacuated zones in the last snapshot.
	evacuated map[model.Zone]bool
	senders   senders
	// departing holds the server processes that said that they leave, and when they
	// last did. A process whose entry vanishes and returns is still leaving.
	departing map[process]time.Time
}

// Options configures a Fleet.
type Options struct {
	// Self and Region identify this entry VM.
	Self   model.VMID
	Region model.Region
	// ColdFactor and ColdSlack set how far the request rate of a cold server may
	// exceed its configured rate r: all VMs together may send it up to
	// r*ColdFactor + ColdSlack requests per second.
	ColdFactor, ColdSlack float64
	// OnEject, if not nil, is called on each ejection with the Fleet's lock held.
	// It must not block or call the Fleet.
	OnEject func(Ejection)
	// OnLimit, if not nil, is called when the limit that a server states changes,
	// with the Fleet's lock held. It must not block or call the Fleet.
	OnLimit func(LimitChange)
	// LearnCapacity estimates each server's capacity and speed from its responses.
	// Without it, the capacity is the server's slots and all servers are as fast.
	LearnCapacity bool
	// OnCapacity, if not nil, is called for a bounded number of changes of a server's
	// estimated capacity to less than half of its slots and back, with the Fleet's lock
	// held. It must not block or call the Fleet.
	OnCapacity func(CapacityChange)
}

// Ejection describes a temporary exclusion of a server and its cause.
type Ejection struct {
	Server *catalog.Server
	// Duration is how long the server gets no requests.
	Duration time.Duration
	// Unanswered is the number of unanswered requests since the last answer.
	Unanswered int
	// FailureRate is the exponentially weighted share of failed requests, from 0
	// to 1.
	FailureRate float64
}

// NewFleet returns a Fleet without servers.
func NewFleet(options Options) *Fleet {
	if options.OnEject == nil {
		options.OnEject = func(Ejection) {}
	}
	if options.OnLimit == nil {
		options.OnLimit = func(LimitChange) {}
	}
	if options.OnCapacity == nil {
		options.OnCapacity = func(CapacityChange) {}
	}
	return &Fleet{
		options: options, servers: map[model.ServerID]*Server{}, byHash: map[uint64]*Server{}, byService: map[model.ServiceName][]candidate{},
		uses: newUseLog(), remoteTotals: share.Counts{},
		senders:   senders{self: hashString(string(options.Self)), generation: 1},
		departing: map[process]time.Time{}, work: newWorkTimes(), estimates: map[model.ServiceName]*concurrency.Service{},
	}
}

// SetVMs sets the entry VMs that divide the request rate of each cold server.
func (f *Fleet) SetVMs(vms []catalog.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.senders.set(vms, f.options.Self)
}

// SetSnapshot updates the fleet to a new snapshot and returns the servers that
// the snapshot no longer lists.
func (f *Fleet) SetSnapshot(snapshot *catalog.Snapshot, now time.Time) []*catalog.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config != snapshot.Config {
		f.config, f.tolerant = snapshot.Config, tolerantRoutes(snapshot.Config)
		if f.byObjective = admitsByObjective(snapshot.Config); f.byObjective {
			f.work.retain(snapshot.Config)
		}
	}
	ended := f.endedEvacuations(snapshot.EvacuatedZones)
	present := make(map[model.ServerID]bool, len(f.servers))
	f.byService = make(map[model.ServiceName][]candidate, len(snapshot.Servers))
	for service, list := range snapshot.Servers {
		candidates := make([]candidate, 0, len(list))
		for _, entry := range list {
			server := f.update(entry, now)
			if ended[entry.Zone] {
				f.setCold(server, f.coldDuration(service), now)
			}
			present[entry.ID] = true
			candidates = append(candidates, candidate{server, server.hash, server.Region == f.options.Region})
		}
		f.byService[service] = candidates
	}
	return f.removeUnlisted(present)
}

// endedEvacuations returns the zones whose evacuation ended. Their servers may
// have lost their warm caches without having reported it yet.
func (f *Fleet) endedEvacuations(evacuated map[model.Zone]bool) map[model.Zone]bool {
	ended := map[model.Zone]bool{}
	for zone := range f.evacuated {
		if !evacuated[zone] {
			ended[zone] = true
		}
	}
	f.evacuated = evacuated
	return ended
}

func (f *Fleet) update(entry *catalog.Server, now time.Time) *Server {
	server, known := f.servers[entry.ID]
	if known && (server.Started != entry.Started || server.Address != entry.Address) {
		server.removed = true
		f.stopEstimate(server)
		known = false
	}
	if !known {
		server = &Server{Server: entry, hash: hashString(string(entry.ID))}
		if since, leaving := f.departing[processOf(server)]; leaving {
			server.withdraw().leavingSince = since
		}
		f.startEstimate(server)
		f.servers[entry.ID], f.byHash[server.hash] = server, server
		f.setCold(server, entry.ColdRemaining, now)
		return server
	}
	if server.Server != entry {
		server.Server = entry
		server.setEstimateSlots()
		f.setCold(server, entry.ColdRemaining, now)
	}
	return server
}

func (f *Fleet) setCold(server *Server, remaining time.Duration, now time.Time) {
	if until := now.Add(remaining); remaining > 0 && until.After(server.coldUntil) {
		server.coldUntil = until
	}
}

func (f *Fleet) coldDuration(service model.ServiceName) time.Duration {
	if f.config == nil {
		return 0
	}
	return f.config.Services[service].ColdDuration
}

func (f *Fleet) removeUnlisted(present map[model.ServerID]bool) []*catalog.Server {
	var removed []*catalog.Server
	for id, server := range f.servers {
		if !present[id] {
			server.removed = true
			f.stopEstimate(server)
			removed = append(removed, server.Server)
			delete(f.servers, id)
			delete(f.byHash, server.hash)
		}
	}
	return removed
}

// ServerCounts returns the number of servers of each service.
func (f *Fleet) ServerCounts() map[model.ServiceName]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sizes := make(map[model.ServiceName]int, len(f.byService))
	for service, list := range f.byService {
		sizes[service] = len(list)
	}
	return sizes
}
