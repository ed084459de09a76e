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
	// listLag is how far the platform's VM list lags.
	listLag = 500 * time.Millisecond
	// ticketValidity is how long a ticket may be used in the demo.
	ticketValidity = 4 * time.Second
	// startTimeout bounds the start of the whole fleet.
	startTimeout = 10 * time.Second
	// coldFactor and coldWork describe a server that was just started.
	coldFactor = 2
	coldWork   = 10
)

// demoQuota shortens grants to the demo's time scale.
var demoQuota = quota.Timing{GrantTTL: 500 * time.Millisecond, MaxPropagation: config.ConfirmationTTL}

// fleet is a whole deployment in one process: the platform's stand-in, backend
// servers and entry VMs on sockets of the loopback range.
type fleet struct {
	deployment Deployment
	net        *network
	store      *platformstandin.Store
	logger     *log.Logger

	mu      sync.Mutex
	entries map[model.VMID]*entryVM
	order   []model.VMID
	servers []*backendServer
	// onStart is told of each run that begins at a server in a zone.
	onStart func(zone model.Zone, order string)
}

// entryVM is one entry VM slot with the process that runs there now.
type entryVM struct {
	slot   config.Slot
	region model.Region
	// address is where the slot's process listens; its port comes from the
	// kernel when the fleet starts.
	address string
	// bound is the listener of the slot's first process.
	bound   net.Listener
	process process
	// daemon is nil when the baseline runs.
	daemon  *daemon.Daemon
	running bool
}

// process is what runs on an entry VM.
type process interface {
	Stop(ctx context.Context) error
	Kill()
}

// backendServer is one backend server.
type backendServer struct {
	id      model.ServerID
	service Service
	zone    model.Zone
	current atomic.Pointer[standin.Server]
	// gone holds the servers that ran here before and died.
	gone []*standin.Server
	dead bool
}

// server returns the process that runs here now.
func (s *backendServer) server() *standin.Server { return s.current.Load() }

// row is the server's row of the platform's list.
func (s *backendServer) row() platform.VM {
	return platform.VM{
		ID: string(s.id), Role: platform.RoleBackend, Zone: s.zone,
		Address: s.server().Address(), Service: s.service.Name, State: platform.VMLive,
	}
}

// runs adds up how often each order was started, by all processes that ran
// here.
func (s *backendServer) runs(into map[string]int) {
	for _, server := range append(s.gone, s.server()) {
		for order, n := range server.Orders() {
			into[order] += n
		}
	}
}

// listener returns the listener of the slot's next process.
func (e *entryVM) listener() (net.Listener, error) {
	if l := e.bound; l != nil {
		e.bound = nil
		return l, nil
	}
	return net.Listen("tcp", e.address)
}

// hostOf returns the IP number of the n-th host of a kind.
func hostOf(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", kind, n/200, n%200+1) }

// Kinds of hosts in the loopback range.
const (
	hostEntry  = 10
	hostServer = 20
)

func newFleet(d Deployment, logger *log.Logger, onStart func(model.Zone, string)) *fleet {
	regions := make(map[model.Zone]model.Region)
	for _, z := range d.zones() {
		regions[z.Name] = z.Region
	}
	return &fleet{
		deployment: d,
		net:        newNetwork(d.Delays, regions),
		store:      platformstandin.New(platformstandin.Options{ListLag: listLag}),
		logger:     logger,
		onStart:    onStart,
		entries:    make(map[model.VMID]*entryVM),
	}
}

// start starts the backend servers and lays out the entry VMs.
func (f *fleet) start() error {
	if err := f.startServers(); err != nil {
		return err
	}
	for i, slot := range f.deployment.slots() {
		if err := f.layOut(slot, hostOf(hostEntry, i)); err != nil {
			return err
		}
	}
	return nil
}

// layOut gives a slot its address and puts it on the platform's list.
func (f *fleet) layOut(slot config.Slot, host string) error {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return errors.Wrap(err, "reserve the address of an entry VM")
	}
	e := &entryVM{slot: slot, region: f.net.regions[slot.Zone], address: l.Addr().String(), bound: l}
	f.net.place(host, slot.Zone)
	f.entries[slot.VM] = e
	f.order = append(f.order, slot.VM)
	f.store.SetVM(platform.VM{ID: string(slot.VM), Role: platform.RoleEntry, Zone: slot.Zone, Address: e.address, State: platform.VMLive})
	return nil
}

// startEntries starts a daemon on every entry VM and puts the deployment's
// configuration in force.
func (f *fleet) startEntries(ctx context.Context) error {
	for _, vm := range f.order {
		if err := f.startEntry(ctx, f.entries[vm]); err != nil {
			return err
		}
	}
	return f.configure(ctx)
}

func (f *fleet) startServers() error {
	n := 0
	for _, service := range f.deployment.Services {
		zones := f.deployment.placesOf(service)
		for i := range service.Servers {
			zone := zones[i%len(zones)].Name
			s := &backendServer{id: model.ServerID(fmt.Sprintf("%s-%02d", service.Name, i)), service: service, zone: zone}
			if err := f.startServer(s, hostOf(hostServer, n)); err != nil {
				return err
			}
			f.servers = append(f.servers, s)
			n++
		}
	}
	return nil
}

// startServer starts the process of a backend server and lists it.
func (f *fleet) startServer(s *backendServer, host string) error {
	server, err := standin.Start(standin.Options{
		ID:          s.id,
		Address:     net.JoinHostPort(host, "0"),
		Slots:       slotsPerServer,
		MaxConns:    s.service.MaxConns,
		ConnSetup:   connSetup,
		ServiceTime: s.service.timeOf,
		ColdFactor:  coldFactor,
		ColdWork:    coldWork,
		ReportLag:   time.Second,
		OnStart:     func(order string) { f.onStart(s.zone, order) },
	})
	if err != nil {
		return errors.Wrapf(err, "start backend server %s", s.id)
	}
	s.current.Store(server)
	f.net.place(host, s.zone)
	f.store.SetVM(s.row())
	return nil
}

// replaceServers starts new servers in place of the dead ones of a region.
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
		s.gone = append(s.gone, s.server())
		s.dead = false
		f.mu.Unlock()
		if err := f.startServer(s, host); err != nil {
			return err
		}
	}
	return nil
}

// timeOf returns how long a server of the service works on a path.
func (s Service) timeOf(path string) time.Duration {
	for _, k := range s.Kinds {
		if k.Path == path {
			return k.Time
		}
	}
	return 0
}

func (f *fleet) startEntry(ctx context.Context, e *entryVM) error {
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
	for _, vm := range f.order {
		if vm != e.slot.VM {
			s.Seeds = append(s.Seeds, settings.Seed{VM: vm, Address: f.entries[vm].address})
		}
	}
	return s
}

// silenceAfter is how long a connection of the demo may make no progress.
const silenceAfter = 300 * time.Millisecond

// live returns the running entry VMs in order.
func (f *fleet) live() []*entryVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []*entryVM
	for _, vm := range f.order {
		if f.entries[vm].running {
			live = append(live, f.entries[vm])
		}
	}
	return live
}

// take marks the slot's process as gone and returns it, or nil.
func (f *fleet) take(vm model.VMID) process {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.entries[vm]
	if !ok || !e.running {
		return nil
	}
	e.running = false
	return e.process
}

// kill ends an entry VM as a crash would.
func (f *fleet) kill(vm model.VMID) {
	if d := f.take(vm); d != nil {
		d.Kill()
	}
}

// stop ends an entry VM as planned.
func (f *fleet) stop(ctx context.Context, vm model.VMID) error {
	if d := f.take(vm); d != nil {
		return d.Stop(ctx)
	}
	return nil
}

// killServer ends a backend server as a crash would.
func (f *fleet) killServer(s *backendServer) {
	f.mu.Lock()
	dead := s.dead
	s.dead = true
	f.mu.Unlock()
	if !dead {
		s.server().Kill()
	}
}

// close ends everything that still runs.
func (f *fleet) close() {
	var ending sync.WaitGroup
	for _, e := range f.live() {
		ending.Go(func() { f.kill(e.slot.VM) })
	}
	ending.Wait()
	for _, s := range f.servers {
		f.killServer(s)
	}
}

// capacity is the rate that a service's servers answer a kind of requests at,
// in requests a second.
func (s Service) capacity(k Kind) float64 {
	return float64(s.Servers*slotsPerServer) / k.Time.Seconds()
}
