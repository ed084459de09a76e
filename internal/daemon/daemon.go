// Package daemon assembles and runs the services of a fuchsiaspard process, the
// daemon of one entry VM. The services are registered with a kernel in the
// order in which they start, and stop in reverse order.
package daemon

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand"
	randv2 "math/rand/v2"
	"net"
	"strconv"
	"time"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/control"
	"fuchsiaspar/internal/entry"
	"fuchsiaspar/internal/explain"
	"fuchsiaspar/internal/fleet"
	"fuchsiaspar/internal/kernel"
	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/metrics"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/once"
	"fuchsiaspar/internal/owner"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/platform"
	"fuchsiaspar/internal/quota"
	"fuchsiaspar/internal/retry"
	"fuchsiaspar/internal/servers"
	"fuchsiaspar/internal/settings"
	"fuchsiaspar/internal/steer"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
)

// Names under which services are registered with the kernel.
const (
	NameMetrics  = "core.metrics"
	NameExplain  = "core.explain"
	NameLinks    = "peer.links"
	NameMembers  = "peer.members"
	NameConfig   = "config.agreement"
	NameServers  = "platform.servers"
	NameLimits   = "quota.limits"
	NamePools    = "owner.pools"
	NameBackends = "backend.client"
	NamePoller   = "backend.poller"
	NameControl  = "control.state"
	NameEntry    = "entry.path"
	NameExpiry   = "once.expiry"
	NameFleet    = "operator.fleet"
	NameHTTP     = "entry.http"
)

const (
	// explainRingSize is the number of recent decisions kept for explain.
	explainRingSize = 4096
	// defaultRetryPercent bounds the retries, in percent of requests, for
	// services whose template is not known yet.
	defaultRetryPercent = 10
	// relayTokenValidity is the maximum accepted age of relay attempt tokens.
	relayTokenValidity = 15 * time.Second
	// maxRelayAttempts bounds the records of accepted relayed attempts, and
	// separately those of rejected ones.
	maxRelayAttempts = 65_536
	// maxKeptAnswers is the number of answers of the maximum size that fit in
	// the memory for kept answers.
	maxKeptAnswers = 256
)

// Dial opens a connection to a backend server or another entry VM.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Deps are the external dependencies of a daemon. Store, VMs and Logger are
// required; the other fields have defaults.
type Deps struct {
	Store  platform.Store
	VMs    platform.VMList
	Dial   Dial
	Logger *log.Logger
	Quota  quota.Timing
	// Listener, if set, is served instead of the address in the settings.
	Listener net.Listener
}

// Daemon holds the services of one fuchsiaspard process.
type Daemon struct {
	settings settings.Settings
	kernel   *kernel.Kernel
	logger   *log.Logger

	control *control.Service
	entry   *entry.Server
	tickets *once.Registry
	server  *httpServer
	// superseded is closed after the daemon has stopped because a newer process
	// runs under the same VM name.
	superseded chan struct{}
}

// New assembles a daemon without starting it.
func New(s settings.Settings, deps Deps) (*Daemon, error) {
	d := &Daemon{settings: s, kernel: kernel.New(), logger: deps.Logger, superseded: make(chan struct{})}
	b := builder{daemon: d, settings: s, deps: deps}
	if err := b.build(); err != nil {
		return nil, err
	}
	return d, nil
}

// Start starts every service. The daemon refuses requests until it has adopted
// a configuration.
func (d *Daemon) Start(ctx context.Context) error { return d.kernel.Start(ctx) }

// Kernel returns the kernel that holds the services of the process.
func (d *Daemon) Kernel() *kernel.Kernel { return d.kernel }

// builder creates the services and registers them in the order in which they
// start.
type builder struct {
	daemon   *Daemon
	settings settings.Settings
	deps     Deps

	incarnation model.Incarnation
	key         [32]byte
	rand        *rand.Rand

	metrics  *metrics.Metrics
	ring     *explain.Ring
	mesh     *peer.Mesh
	members  *membership.Service
	config   *config.Service
	servers  *servers.Service
	limits   *quota.Service
	pools    *owner.Pools
	backends *backend.Client
	relays   *backend.Client
	router   *steer.Router
	poller   *control.Poller
	fleet    *fleet.Service
	retries  *retry.Budget
}

func (b *builder) build() error {
	steps := []func() error{
		b.generateIdentity, b.addCore, b.addHTTPServer, b.addLinks, b.addMembership, b.addConfig, b.addServers,
		b.addQuota, b.addPools, b.addControl, b.addEntry, b.addFleet, b.mountRoutes,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return errors.Wrap(err, "assemble daemon")
		}
	}
	return nil
}

func (b *builder) register(name string, service any) error {
	return b.daemon.kernel.Register(name, service)
}

// generateIdentity generates the random incarnation and ticket key that
// distinguish this process from earlier ones of the same VM, and seeds the
// random source of the services.
func (b *builder) generateIdentity() error {
	var seed [16]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return errors.Wrap(err, "generate incarnation")
	}
	if _, err := crand.Read(b.key[:]); err != nil {
		return errors.Wrap(err, "generate ticket key")
	}
	b.incarnation = model.Incarnation(binary.BigEndian.Uint64(seed[:8]) | 1)
	b.rand = rand.New(rand.NewSource(int64(binary.BigEndian.Uint64(seed[8:]))))
	return nil
}

func (b *builder) addCore() error {
	m, err := metrics.New(string(b.settings.VM.Name))
	if err != nil {
		return err
	}
	b.metrics = m
	b.ring = explain.NewRing(b.settings.VM.Name, explainRingSize)
	if err := b.register(NameMetrics, &metricsService{m}); err != nil {
		return err
	}
	return b.register(NameExplain, b.ring)
}

// metricsService closes the metrics when the kernel stops.
type metricsService struct{ *metrics.Metrics }

// Stop flushes and closes the metrics reporter.
func (m *metricsService) Stop(context.Context) error { return m.Close() }

// newRand returns a random source for the exclusive use of one service, as
// rand.Rand is not safe for concurrent use.
func (b *builder) newRand() *rand.Rand { return rand.New(rand.NewSource(b.rand.Int63())) }

func (b *builder) addLinks() error {
	b.mesh = peer.New(peer.Options{
		Self:        b.settings.VM.Name,
		Incarnation: b.incarnation,
		Logger:      b.deps.Logger.WithPrefix("peer"),
		Scope:       b.metrics.Scope,
		Rand:        b.newRand(),
		Dial:        b.deps.Dial,
	})
	return b.register(NameLinks, b.mesh)
}

func (b *builder) addMembership() error {
	vm := b.settings.VM
	seeds := make([]membership.Seed, 0, len(b.settings.Seeds))
	for _, s := range b.settings.Seeds {
		seeds = append(seeds, membership.Seed{VM: s.VM, Address: s.Address})
	}
	b.members = membership.NewService(membership.ServiceOptions{
		Self: membership.Self{
			VM:          vm.Name,
			Zone:        vm.Zone,
			Region:      vm.Region,
			Address:     vm.Advertise,
			Incarnation: b.incarnation,
		},
		Seeds:   seeds,
		Store:   b.deps.Store,
		VMs:     b.deps.VMs,
		Links:   b.mesh,
		Rand:    b.newRand(),
		Logger:  b.deps.Logger.WithPrefix("membership"),
		Scope:   b.metrics.Scope,
		Explain: b.ring,
		OnSuperseded: func(by model.Incarnation) {
			go b.daemon.killSuperseded(by)
		},
	})
	return b.register(NameMembers, b.members)
}

func (b *builder) addConfig() error {
	b.config = config.NewService(config.ServiceOptions{
		Self:    b.settings.VM.Name,
		Zone:    b.settings.VM.Zone,
		Store:   b.deps.Store,
		VMs:     b.deps.VMs,
		Links:   b.mesh,
		View:    b.members.View,
		Rand:    b.newRand(),
		Logger:  b.deps.Logger.WithPrefix("config"),
		Scope:   b.metrics.Scope,
		Explain: b.ring,
	})
	return b.register(NameConfig, b.config)
}

func (b *builder) addServers() error {
	b.servers = servers.New(servers.Options{
		Self:   b.settings.VM.Name,
		Zone:   b.settings.VM.Zone,
		VMs:    b.deps.VMs,
		Links:  b.mesh,
		View:   b.members.View,
		Logger: b.deps.Logger.WithPrefix("servers"),
		Scope:  b.metrics.Scope,
	})
	return b.register(NameServers, b.servers)
}

func (b *builder) addQuota() error {
	b.limits = quota.NewService(quota.ServiceOptions{
		Self:           b.settings.VM.Name,
		Region:         b.settings.VM.Region,
		Store:          b.deps.Store,
		Links:          b.mesh,
		Timing:         b.deps.Quota,
		RequireConfirm: true,
		Explain:        b.ring,
		Rand:           randv2.New(randv2.NewPCG(b.rand.Uint64(), b.rand.Uint64())),
		Logger:         b.deps.Logger.WithPrefix("quota"),
		Scope:          b.metrics.Scope,
	})
	return b.register(NameLimits, b.limits)
}

func (b *builder) addPools() error {
	b.pools = owner.NewPools(b.ring)
	b.backends = b.newClient("backend")
	b.relays = b.newClient("relay")
	b.poller = control.NewPoller(b.pools, b.backends, b.metrics.Scope)
	if err := b.register(NamePools, b.pools); err != nil {
		return err
	}
	if err := b.register(NameBackends, &backendClients{backends: b.backends, relays: b.relays}); err != nil {
		return err
	}
	return b.register(NamePoller, b.poller)
}

func (b *builder) newClient(prefix string) *backend.Client {
	return backend.New(backend.Options{
		Logger:  b.deps.Logger.WithPrefix(prefix),
		Scope:   b.metrics.Scope.SubScope(prefix),
		Silence: b.settings.Limits.SilenceAfter.Std(),
		Dial:    backend.DialFunc(b.deps.Dial),
	})
}

// backendClients closes the HTTP clients when the kernel stops.
type backendClients struct {
	backends, relays *backend.Client
}

// Stop closes the connections to backend servers and to other entry VMs.
func (c *backendClients) Stop(context.Context) error {
	c.backends.Close()
	c.relays.Close()
	return nil
}

func (b *builder) addControl() error {
	vm := b.settings.VM
	b.retries = retry.NewBudget(defaultRetryPercent)
	b.router = steer.NewRouter(b.limits.Limiter(), steer.RouterOptions{})
	b.daemon.control = control.New(control.Options{
		Self:         vm.Name,
		Zone:         vm.Zone,
		Region:       vm.Region,
		Config:       b.config,
		Members:      b.members,
		Servers:      b.servers,
		Pools:        b.pools,
		Router:       b.router,
		Limits:       b.limits,
		Retries:      b.retries,
		Draining:     b.poller.Draining,
		DrainVersion: b.poller.DrainVersion,
		Explain:      b.ring,
		Logger:       b.deps.Logger.WithPrefix("control"),
		Scope:        b.metrics.Scope,
	})
	return b.register(NameControl, b.daemon.control)
}

func (b *builder) addEntry() error {
	vm, limits := b.settings.VM, b.settings.Limits
	b.daemon.tickets = once.NewRegistry(once.Options{
		VM:             vm.Name,
		Incarnation:    b.incarnation,
		Key:            b.key,
		Validity:       limits.TicketValidity.Std(),
		MaxRecords:     limits.MaxTickets,
		MaxKeptBytes:   maxKeptAnswers * limits.MaxKeptAnswerBytes,
		MaxAnswerBytes: limits.MaxKeptAnswerBytes,
		Rand:           crand.Reader,
	})
	attempts := once.NewAttempts(once.AttemptOptions{
		Incarnation:   b.incarnation,
		TokenValidity: relayTokenValidity,
		MaxAccepted:   maxRelayAttempts,
		MaxRejected:   maxRelayAttempts,
	})
	b.daemon.entry = entry.NewServer(entry.Options{
		Self:               vm.Name,
		Zone:               vm.Zone,
		Region:             vm.Region,
		Instance:           strconv.FormatUint(uint64(b.incarnation), 16),
		MaxHeaderBytes:     limits.MaxHeaderBytes,
		MaxReplayBytes:     limits.MaxReplayBytes,
		MaxKeptAnswerBytes: limits.MaxKeptAnswerBytes,
		Source:             b.daemon.control,
		Router:             b.router,
		Pools:              b.pools,
		Backends:           b.backends,
		Relays:             b.relays,
		Tickets:            b.daemon.tickets,
		Attempts:           attempts,
		RetryBudget:        b.retries,
		Links:              b.mesh,
		Caps:               newLinkCaps(b.limits.Limiter(), vm.Region),
		Explain:            b.ring,
		Scope:              b.metrics.Scope,
		Logger:             b.deps.Logger.WithPrefix("entry"),
	})
	b.daemon.control.SetActiveCounter(b.daemon.entry.ActiveRequests)
	if err := b.register(NameEntry, b.daemon.entry); err != nil {
		return err
	}
	return b.register(NameExpiry, newExpiry(b.daemon.tickets, attempts, b.metrics.Scope))
}

// LiveMembers returns the entry VMs that this one considers alive, including
// itself. It returns nil if the membership service is not registered.
func (d *Daemon) LiveMembers() []model.VMID {
	members, err := kernel.Find[*membership.Service](d.kernel, NameMembers)
	if err != nil {
		return nil
	}
	var live []model.VMID
	for _, m := range members.View().Members {
		if m.State == membership.StateAlive {
			live = append(live, m.VM)
		}
	}
	return live
}

func (b *builder) addFleet() error {
	b.fleet = fleet.New(fleet.Options{
		Self:  b.settings.VM.Name,
		Local: b.daemon.control,
		Links: b.mesh,
		Ring:  b.ring,
	})
	return b.register(NameFleet, b.fleet)
}
