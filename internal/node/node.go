// Package node assembles the services of an entry VM and runs them on the
// platform, from start to planned shutdown.
package node

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"io"
	"math/rand"
	randv2 "math/rand/v2"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/allow"
	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/decisions"
	"fuchsiaspar/internal/feed"
	"fuchsiaspar/internal/front"
	"fuchsiaspar/internal/intake"
	"fuchsiaspar/internal/kernel"
	"fuchsiaspar/internal/liveness"
	"fuchsiaspar/internal/metrics"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/pick"
	"fuchsiaspar/internal/replica"
	"fuchsiaspar/internal/share"
	"fuchsiaspar/internal/state"
	"fuchsiaspar/internal/upstream"
	"fuchsiaspar/platform"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
)

// Names under which the services are registered in the kernel.
const (
	NameMetrics  = "core.metrics"
	NameLog      = "core.log"
	NameLinks    = "peer.links"
	NameLiveness = "peer.liveness"
	NameFeed     = "store.feed"
	NameState    = "control.state"
	NameRecord   = "store.record"
	NameSeeds    = "peer.seeds"
	NameShare    = "peer.share"
	NameLimits   = "peer.accounts"
	NameHTTP     = "front.http"
)

// heapMemoryShare is the fraction of the VM's memory that is set as the soft
// memory limit of the Go runtime. The rest is for stacks, kernel buffers and the
// program itself.
const heapMemoryShare = 0.6

// learnCapacityByDefault says whether the capacity of backend servers is estimated where
// the settings file does not say.
const learnCapacityByDefault = false

// maxFollowers bounds the polls that wait at the reader of a region. It covers
// the VMs of the largest planned region with a margin.
const maxFollowers = 512

// Node is an entry VM.
type Node struct {
	settings  platform.NodeSettings
	kernel    *kernel.Kernel
	log       *decisions.Log
	liveness  *liveness.Service
	front     *front.Server
	state     *state.Service
	listeners *listeners
	leaving   atomic.Bool
}

// New assembles an entry VM without starting it. Logs go to out.
func New(settings platform.NodeSettings, out io.Writer) (*Node, error) {
	debug.SetMemoryLimit(int64(float64(settings.Limits.MemoryMB) * heapMemoryShare * (1 << 20)))
	n := &Node{settings: settings, kernel: kernel.New()}
	b, err := newAssembly(n, out)
	if err != nil {
		return nil, err
	}
	for _, step := range []func() error{b.registerCore, b.registerPeers, b.registerStore, b.registerControl, b.registerIntake, b.registerTraffic} {
		if err := step(); err != nil {
			return nil, errors.Wrap(err, "assemble entry VM")
		}
	}
	return n, nil
}

// Ready reports whether this VM can serve requests: it has a configuration and
// is not leaving.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.state.Current().Config != nil
}

// assembly holds the parts of a Node while New builds it, and connects them
// afterwards.
type assembly struct {
	node     *Node
	settings platform.NodeSettings
	self     catalog.VM
	logger   *log.Logger
	random   *randv2.Rand

	metrics *metrics.Metrics
	mesh    *peer.Mesh
	store   *platform.Client
	copy    *replica.Replica
	feed    *feed.Service
	fleet   *pick.Fleet
	client  *upstream.Client
	repeats *allow.RetryBudget
	limits  *accountLimits

	guard       *intake.Guard
	serverBytes *intake.ServerBytes
}

func newAssembly(n *Node, out io.Writer) (*assembly, error) {
	var seed [16]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, errors.Wrap(err, "read random seed")
	}
	s := n.settings
	return &assembly{
		node:     n,
		settings: s,
		logger: log.NewWithOptions(out, log.Options{
			Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano,
		}).With("vm", s.Name),
		random: randv2.New(randv2.NewPCG(binary.BigEndian.Uint64(seed[:8]), binary.BigEndian.Uint64(seed[8:]))),
		self: catalog.VM{
			Name: s.Name, Zone: s.Zone, Region: s.Region,
			Front: s.Listen.Front, Peer: s.Listen.Peer, Started: time.Now().UnixMilli(),
			LinkMbps: s.Limits.LinkMbps, CPUShare: s.Limits.CPUShare,
		},
	}, nil
}

func (b *assembly) register(name string, svc any) error { return b.node.kernel.Register(name, svc) }

// newRandom returns a separate random source for a service.
func (b *assembly) newRandom() *randv2.Rand {
	return randv2.New(randv2.NewPCG(b.random.Uint64(), b.random.Uint64()))
}

func (b *assembly) registerCore() error {
	m, err := metrics.New(string(b.settings.Name))
	if err != nil {
		return err
	}
	b.metrics = m
	b.node.log = decisions.New(b.logger, m.Scope)
	if err := b.register(NameMetrics, &metricsService{m}); err != nil {
		return err
	}
	return b.register(NameLog, b.node.log)
}

type metricsService struct{ *metrics.Metrics }

// Stop ends the metrics reporting.
func (m *metricsService) Stop(context.Context) error { return m.Close() }

func (b *assembly) registerPeers() error {
	b.mesh = peer.New(peer.Options{
		Self:        b.settings.Name,
		Incarnation: model.Incarnation(b.random.Uint64() | 1),
		Scope:       b.metrics.Scope,
		Rand:        rand.New(rand.NewSource(b.random.Int64())),
		// Each follower keeps a poll waiting at its reader.
		SlowHandlers: maxFollowers,
		Distance:     b.distance,
	})
	b.node.liveness = liveness.NewService(b.self, b.mesh, b.random, b.node.log)
	if err := b.register(NameLinks, b.mesh); err != nil {
		return err
	}
	return b.register(NameLiveness, b.node.liveness)
}

// distance returns how far a VM is according to its record.
func (b *assembly) distance(vm model.VMID) peer.Distance {
	if b.node.liveness == nil {
		return peer.DistanceUnknown
	}
	record, ok := b.node.liveness.Record(vm)
	switch {
	case !ok:
		return peer.DistanceUnknown
	case record.Region != b.self.Region:
		return peer.BetweenRegions
	case record.Zone != b.self.Zone:
		return peer.BetweenZones
	}
	return peer.WithinZone
}

func (b *assembly) registerStore() error {
	b.copy = replica.New(platform.ItemVersion)
	calls := b.metrics.Scope
	b.store = platform.NewClient(b.settings.Store, func(call string, took time.Duration, err error) {
		outcome := "ok"
		if err != nil {
			outcome = "failed"
		}
		calls.Tagged(map[string]string{"call": call, "outcome": outcome}).Counter("store_calls").Inc(1)
	})
	b.feed = feed.New(feed.Options{
		Self: b.self, Store: b.store, Links: b.mesh, Replica: b.copy, Alive: b.node.liveness.Alive,
		Random: b.newRandom(), Log: b.node.log,
		IsCompacted: func(err error) bool { return errors.Is(err, platform.ErrCompacted) },
	})
	if err := b.register(NameFeed, b.feed); err != nil {
		return err
	}
	key := platform.PrefixVMs + string(b.settings.Name)
	return b.register(NameRecord, feed.NewRegistrar(feed.RegistrarOptions{
		Store: b.store, Key: key, Log: b.node.log,
		Encode:    func() ([]byte, error) { return platform.EncodeVM(b.node.liveness.Self()) },
		IsListed:  func() bool { _, ok := b.copy.Item(key); return ok },
		Position:  b.copy.Position,
		IsExpired: func(err error) bool { return errors.Is(err, platform.ErrNotFound) },
	}))
}

func (b *assembly) registerControl() error {
	s := b.settings
	b.fleet = pick.NewFleet(pick.Options{
		Self: s.Name, Region: s.Region, ColdFactor: s.Bounds.ColdFactor, ColdSlack: s.Bounds.ColdSlack,
		OnEject: b.logEjection, OnLimit: b.logLimit,
		LearnCapacity: learnsCapacity(s.Features), OnCapacity: b.logCapacity,
	})
	b.limits = newAccountLimits(b)
	shares := share.New(b.self, b.fleet, b.feed, b.mesh, b.node.liveness.Alive, b.newRandom())
	if err := b.register(NameShare, shares); err != nil {
		return err
	}
	if b.limits != nil {
		if err := b.register(NameLimits, b.limits); err != nil {
			return err
		}
	}
	b.client = upstream.NewClient(b.metrics.Scope)
	b.repeats = allow.NewRetryBudget(s.Bounds.RetryRatio, s.Bounds.RetrySlack)
	b.node.state = state.New(state.Options{
		Replica: b.copy,
		Builder: state.NewBuilder(state.Decoder{
			ConfigKey: platform.KeyConfig, EvacuatePrefix: platform.PrefixEvacuate,
			ServerPrefix: platform.PrefixServers, VMPrefix: platform.PrefixVMs,
			Config: platform.DecodeConfig,
			Server: func(key string, value []byte) (*catalog.Server, error) {
				return platform.DecodeServer(key, value, s.Regions)
			},
			VM: platform.DecodeVM,
		}, b.node.log),
		Outage: func(now time.Time) state.Outage {
			status := b.feed.StoreStatus(now)
			return state.Outage{Disconnected: status.Disconnected, RecoveredAt: status.RecoveredAt, RestoredAt: status.RestoredAt}
		},
		OnSnapshot: func(snapshot *catalog.Snapshot, now time.Time) {
			// The VMs come first, since they divide what the servers may get.
			b.node.liveness.SetStoreRecords(snapshot.VMs)
			b.divideLimits(snapshot.Config)
			b.limits.setConfig(snapshot.Config, now)
			b.setOperatorLimits(snapshot.Config)
			b.client.CloseIdle(b.fleet.SetSnapshot(snapshot, now))
		},
		OnTick: b.onTick,
	})
	return b.register(NameState, b.node.state)
}

// logEjection logs and counts a server that temporarily gets no requests.
func (b *assembly) logEjection(e pick.Ejection) {
	b.metrics.Scope.Tagged(map[string]string{"service": string(e.Server.Service)}).Counter("ejections").Inc(1)
	b.node.log.Event("server ejected", "server", e.Server.ID, "zone", e.Server.Zone, "for", e.Duration,
		"lost", e.Unanswered, "failures", strconv.FormatFloat(e.FailureRate, 'f', 2, 64))
}

// logLimit logs and counts a change of the request rate that a server accepts.
func (b *assembly) logLimit(c pick.LimitChange) {
	b.metrics.Scope.Tagged(map[string]string{"service": string(c.Server.Service)}).Counter("server_limit_changes").Inc(1)
	message := "server limits its requests"
	if !c.Limited {
		message = "server ends its limit"
	}
	b.node.log.Event(message, "server", c.Server.ID, "service", c.Server.Service, "zone", c.Server.Zone,
		"per_second", c.PerSecond, "previous", c.Previous, "source", c.Source, "sent", c.Sent,
		"tokens", strconv.FormatFloat(c.Tokens, 'f', 1, 64))
}

// learnsCapacity reports whether the capacity of backend servers is estimated.
func learnsCapacity(features platform.Features) bool {
	if features.LearnServerCapacity != nil {
		return *features.LearnServerCapacity
	}
	return learnCapacityByDefault
}

// logCapacity logs a server whose estimated capacity fell below half of its slots, or
// returned.
func (b *assembly) logCapacity(c pick.CapacityChange) {
	message := "server capacity is low"
	if !c.Low {
		message = "server capacity is back"
	}
	b.node.log.Event(message, "server", c.Server.ID, "service", c.Server.Service, "zone", c.Server.Zone,
		"capacity", decimal(c.Evidence.Capacity), "slots", c.Evidence.Slots, "speed", decimal(c.Evidence.Speed),
		"service_slowness", decimal(c.Evidence.Common), "knee", decimal(c.Evidence.Knee),
		"samples", c.Evidence.Samples, "sample_age", c.Evidence.Age.Round(time.Millisecond),
		"outstanding", c.Evidence.Outstanding, "overdue", c.Evidence.Overdue)
}

// decimal formats a figure for a log line.
func decimal(value float64) string { return strconv.FormatFloat(value, 'f', 2, 64) }

// reportSpeeds updates the gauges of the estimated speeds of each service's servers.
func (b *assembly) reportSpeeds(now time.Time) {
	for service, sum := range b.fleet.Speeds(now) {
		scope := b.metrics.Scope.Tagged(map[string]string{"service": string(service)})
		scope.Gauge("server_speed_lowest").Update(sum.Lowest)
		scope.Gauge("server_speed_median").Update(sum.Median)
		scope.Gauge("server_speed_highest").Update(sum.Highest)
		scope.Gauge("servers_below_half_capacity").Update(float64(sum.BelowHalf))
		scope.Gauge("server_knee").Update(sum.Knee)
	}
}

// divideLimits divides the limits that hold for all VMs together among the live ones.
// config is nil until one is known.
func (b *assembly) divideLimits(config *catalog.Config) {
	alive := b.node.liveness.Alive()
	b.fleet.SetVMs(alive)
	b.repeats.SetVMs(len(alive))
	if config != nil {
		b.client.SetIdleLimits(config.Services, len(alive))
	}
}

// onTick divides the limits anew, since VMs come and go, and updates the gauges.
func (b *assembly) onTick(now time.Time) {
	b.divideLimits(b.node.state.Current().Config)
	scope := b.metrics.Scope
	scope.Gauge("vms_alive").Update(float64(len(b.node.liveness.Alive())))
	scope.Gauge("store_copy_age_seconds").Update(b.feed.Age(now).Seconds())
	snapshot := b.node.state.Current()
	if snapshot.Config != nil {
		scope.Gauge("configuration_version").Update(float64(snapshot.Config.Version))
		scope.Gauge("configuration_age_seconds").Update(now.Sub(snapshot.ConfigUpdatedAt).Seconds())
	}
	if !snapshot.ServersUpdatedAt.IsZero() {
		scope.Gauge("server_entries_age_seconds").Update(now.Sub(snapshot.ServersUpdatedAt).Seconds())
	}
	for service, count := range b.fleet.ServerCounts() {
		scope.Tagged(map[string]string{"service": string(service)}).Gauge("servers").Update(float64(count))
	}
	b.reportSpeeds(now)
}

func (b *assembly) registerTraffic() error {
	b.node.front = front.NewServer(front.Options{
		Snapshot: b.node.state.Current, Age: b.feed.Age, Fleet: b.fleet, Client: b.client,
		RetryBudget: b.repeats, Limits: b.limits.requestLimiter(), ServerBytes: b.serverBytes, Guard: b.guard,
		Log: b.node.log, Scope: b.metrics.Scope,
	})
	var err error
	if b.node.listeners, err = newListeners(b); err != nil {
		return err
	}
	if err := b.register(NameHTTP, b.node.listeners); err != nil {
		return err
	}
	return b.register(NameSeeds, newSeedClient(b))
}
