package demo

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/backend/standin"
	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/daemon"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/platform"
	platformstandin "fuchsiaspar/internal/platform/standin"
	"fuchsiaspar/internal/quota"
	"fuchsiaspar/internal/settings"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
)

const (
	// vmListLag is the delay of the platform's VM list.
	vmListLag = 500 * time.Millisecond
	// ticketValidity is how long a ticket may be used in the demo.
	ticketValidity = 4 * time.Second
	// startTimeout bounds the start of one entry VM.
	startTimeout = 10 * time.Second
	// coldStartFactor multiplies the service time of the first request of a new
	// server; the factor falls to one over coldStartRequests requests.
	coldStartFactor   = 2
	coldStartRequests = 10
)

// demoQuota shortens quota grants, since scenarios last only seconds.
var demoQuota = quota.Timing{GrantTTL: 500 * time.Millisecond, MaxPropagation: config.ConfirmationTTL}

// fleet is a whole deployment in one process: a simulated platform, backend servers
// and entry VMs on loopback addresses.
type fleet struct {
	deployment Deployment
	net        *network
	store      *platformstandin.Store
	logger     *log.Logger

	mu      sync.Mutex
	entries map[model.VMID]*entryVM
	vmIDs   []model.VMID
	servers []*backendServer
	// onStart is called when a server in a zone starts to run a request.
	onStart func(zone model.Zone, order string)
}

// entryVM is an entry VM slot with its current process.
type entryVM struct {
	slot   config.Slot
	region model.Region
	// address is the address on which the slot's processes listen. The operating
	// system assigns its port when the fleet starts.
	address string
	// firstListener is the listener that reserves the address until the slot's
	// first process takes it; nil from then on.
	firstListener net.Listener
	process       process
	// daemon is nil before the first start and under the baseline policy.
	daemon  *daemon.Daemon
	running bool
}

// process is a daemon or a baseline proxy that runs on an entry VM.
type process interface {
	Stop(ctx context.Context) error
	Kill()
}

// backendServer is a backend server with its current and previous processes.
type backendServer struct {
	id      model.ServerID
	service Service
	zone    model.Zone
	current atomic.Pointer[standin.Server]
	// previous holds the killed processes that were replaced.
	previous []*standin.Server
	dead     bool
}

// server returns the current process, also if it was killed.
func (s *backendServer) server() *standin.Server { return s.current.Load() }

// platformVM returns the server's entry in the platform's VM list.
func (s *backendServer) platformVM() platform.VM {
	return platform.VM{
		ID: string(s.id), Role: platform.RoleBackend, Zone: s.zone,
		Address: s.server().Address(), Service: s.service.Name, State: platform.VMLive,
	}
}

// addRunCounts adds to counts how often each request was started by the current
// and the previous processes.
func (s *backendServer) addRunCounts(counts map[string]int) {
	for _, server := range append(s.previous, s.server()) {
		for order, n := range server.Orders() {
			counts[order] += n
		}
	}
}

// listener returns the listener of the slot's next process.
func (e *entryVM) listener() (net.Listener, error) {
	if l := e.firstListener; l != nil {
		e.firstListener = nil
		return l, nil
	}
	return net.Listen("tcp", e.address)
}

// hostIP returns the loopback IP address of the n-th host of a subnet.
func hostIP(subnet, n int) string { return fmt.Sprintf("127.%d.%d.%d", subnet, n/200, n%200+1) }

// Subnets of the loopback range, as the second byte of the address.
const (
	entrySubnet  = 10
	serverSubnet = 20
)

// newFleet returns a fleet for a deployment; nothing runs yet.
func newFleet(d Deployment, logger *log.Logger, onStart func(model.Zone, string)) *fleet {
	regions := make(map[model.Zone]model.Region)
	for _, z := range d.zones() {
		regions[z.Name] = z.Region
	}
	return &fleet{
		deployment: d,
		net:        newNetwork(d.Delays, regions),
		store:      platformstandin.New(platformstandin.Options{ListLag: vmListLag}),
		logger:     logger,
		onStart:    onStart,
		entries:    make(map[model.VMID]*entryVM),
	}
}

// start starts the backend servers and adds the entry VMs, without their processes.
func (f *fleet) start() error {
	if err := f.startServers(); err != nil {
		return err
	}
	for i, slot := range f.deployment.slots() {
		if err := f.addEntryVM(slot, hostIP(entrySubnet, i)); err != nil {
			return err
		}
	}
	return nil
}

// addEntryVM reserves an address for a slot and adds it to the platform's VM list.
func (f *fleet) addEntryVM(slot config.Slot, host string) error {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return errors.Wrap(err, "reserve the address of an entry VM")
	}
	e := &entryVM{slot: slot, region: f.net.regions[slot.Zone], address: l.Addr().String(), firstListener: l}
	f.net.addHost(host, slot.Zone)
	f.entries[slot.VM] = e
	f.vmIDs = append(f.vmIDs, slot.VM)
	f.store.SetVM(platform.VM{ID: string(slot.VM), Role: platform.RoleEntry, Zone: slot.Zone, Address: e.address, State: platform.VMLive})
	return nil
}

// startEntryVMs starts a daemon on every entry VM and puts the deployment's
// configuration in force.
func (f *fleet) startEntryVMs(ctx context.Context) error {
	for _, vm := range f.vmIDs {
		if err := f.startEntryVM(ctx, f.entries[vm]); err != nil {
			return err
		}
	}
	return f.applyFirstConfig(ctx)
}

// startServers starts the backend servers of every service, spread evenly over the
// service's zones.
func (f *fleet) startServers() error {
	n := 0
	for _, service := range f.deployment.Services {
		zones := f.deployment.zonesOf(service)
		for i := range service.Servers {
			zone := zones[i%len(zones)].Name
			s := &backendServer{id: model.ServerID(fmt.Sprintf("%s-%02d", service.Name, i)), service: service, zone: zone}
			if err := f.startServer(s, hostIP(serverSubnet, n)); err != nil {
				return err
			}
			f.servers = append(f.servers, s)
			n++
		}
	}
	return nil
}

// startServer starts the process of a backend server and adds it to the platform's
// VM list.
func (f *fleet) startServer(s *backendServer, host string) error {
	server, err := standin.Start(standin.Options{
		ID:          s.id,
		Address:     net.JoinHostPort(host, "0"),
		Slots:       slotsPerServer,
		MaxConns:    s.service.MaxConns,
		ConnSetup:   connSetupTime,
		ServiceTime: s.service.serviceTime,
		ColdFactor:  coldStartFactor,
		ColdWork:    coldStartRequests,
		ReportLag:   time.Second,
		OnStart:     func(order string) { f.onStart(s.zone, order) },
	})
	if err != nil {
		return errors.Wrapf(err, "start backend server %s", s.id)
	}
	s.current.Store(server)
	f.net.addHost(host, s.zone)
	f.store.SetVM(s.platformVM())
	return nil
}

// replaceServers replaces the killed backend servers of a region with new processes
// on the same hosts.
func (f *fleet) replaceServers(region model.Region) error {
	for _, s := range f.servers {
		if f.net.regions[s.zone] != region || !s.dead {
			continue
		}
		host, _, err := net.SplitHostPort(s.server().Address())
		if err != nil {
			return err
		}
		f.mu.Lock()
		s.previous = append(s.previous, s.server())
		s.dead = false
		f.mu.Unlock()
		if err := f.startServer(s, host); err != nil {
			return err
		}
	}
	return nil
}

// serviceTime returns the service time of requests for a path, or zero for an
// unknown path.
func (s Service) serviceTime(path string) time.Duration {
	for _, k := range s.Kinds {
		if k.Path == path {
			return k.ServiceTime
		}
	}
	return 0
}

// startEntryVM starts a daemon on an entry VM.
func (f *fleet) startEntryVM(ctx context.Context, e *entryVM) error {
	listener, err := e.listener()
	if err != nil {
		return err
	}
	client := f.store.Client(string(e.slot.VM))
	d, err := daemon.New(f.settings(e), daemon.Deps{
		Store:    client,
		VMs:      client,
		Dial:     f.net.dialer(e.slot.Zone),
		Logger:   f.logger.With("vm", string(e.slot.VM)),
		Quota:    demoQuota,
		Listener: listener,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.Start(ctx); err != nil {
		return errors.Wrapf(err, "start %s", e.slot.VM)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	e.process, e.daemon, e.running = d, d, true
	return nil
}

// settings returns the settings of the daemon on an entry VM, with all other entry
// VMs as seeds.
func (f *fleet) settings(e *entryVM) settings.Settings {
	s := settings.Defaults()
	s.VM = settings.VM{
		Name:      e.slot.VM,
		Zone:      e.slot.Zone,
		Region:    e.region,
		Listen:    e.address,
		Advertise: e.address,
	}
	s.Limits.TicketValidity = model.Duration(ticketValidity)
	s.Limits.SilenceAfter = model.Duration(silenceAfter)
	for _, vm := range f.vmIDs {
		if vm != e.slot.VM {
			s.Seeds = append(s.Seeds, settings.Seed{VM: vm, Address: f.entries[vm].address})
		}
	}
	return s
}

// silenceAfter is the time without progress after which a daemon treats a
// connection as silent.
const silenceAfter = 300 * time.Millisecond

// runningEntryVMs returns the running entry VMs in the order of their slots.
func (f *fleet) runningEntryVMs() []*entryVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	var running []*entryVM
	for _, vm := range f.vmIDs {
		if f.entries[vm].running {
			running = append(running, f.entries[vm])
		}
	}
	return running
}

// markStopped marks an entry VM as stopped and returns its process, or nil if none
// ran.
func (f *fleet) markStopped(vm model.VMID) process {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.entries[vm]
	if !ok || !e.running {
		return nil
	}
	e.running = false
	return e.process
}

// killEntryVM ends the process of an entry VM as a crash would.
func (f *fleet) killEntryVM(vm model.VMID) {
	if proc := f.markStopped(vm); proc != nil {
		proc.Kill()
	}
}

// stopEntryVM stops the process of an entry VM gracefully.
func (f *fleet) stopEntryVM(ctx context.Context, vm model.VMID) error {
	if proc := f.markStopped(vm); proc != nil {
		return proc.Stop(ctx)
	}
	return nil
}

// killServer ends the process of a backend server as a crash would.
func (f *fleet) killServer(s *backendServer) {
	f.mu.Lock()
	dead := s.dead
	s.dead = true
	f.mu.Unlock()
	if !dead {
		s.server().Kill()
	}
}

// close kills all entry VMs and backend servers that still run.
func (f *fleet) close() {
	var wg sync.WaitGroup
	for _, e := range f.runningEntryVMs() {
		wg.Go(func() { f.killEntryVM(e.slot.VM) })
	}
	wg.Wait()
	for _, s := range f.servers {
		f.killServer(s)
	}
}

// capacity returns the rate at which the service's servers can run requests of one
// kind alone, in requests per second.
func (s Service) capacity(k Kind) float64 {
	return float64(s.Servers*slotsPerServer) / k.ServiceTime.Seconds()
}
