package peer

import (
	"context"
	"io"
	"math/rand"
	"net"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// Path is the HTTP path of the peer endpoint.
const Path = "/v1/peer"

// Defaults of Options. Two pings fit into DefaultSilenceAfter, and links that carry the
// heartbeats of entry VMs, every 0.4 s, need none.
const (
	DefaultHeartbeat    = 600 * time.Millisecond
	DefaultSilenceAfter = 1500 * time.Millisecond
	DefaultIdleAfter    = time.Minute
	DefaultQueueLimit   = 256
	DefaultSlowHandlers = 64
)

// Bounds on the delay between two attempts to dial a VM.
const (
	minDialDelay = 50 * time.Millisecond
	maxDialDelay = 500 * time.Millisecond
)

// Distance is how far another VM is. The cost of a byte depends on it.
type Distance string

// Distances.
const (
	DistanceUnknown Distance = "unknown"
	WithinZone      Distance = "zone"
	BetweenZones    Distance = "zones"
	BetweenRegions  Distance = "regions"
)

// Options configures a Mesh. Zero fields take defaults, except Self and
// Incarnation, which are required.
type Options struct {
	// Self is the local VM.
	Self model.VMID
	// Incarnation identifies the local process among the processes of the VM.
	Incarnation model.Incarnation
	Logger      *log.Logger
	Scope       tally.Scope
	// Rand adds jitter to the dial delays. The Mesh uses it under its own lock.
	Rand *rand.Rand
	// Heartbeat is how long nothing may arrive on a link before it is pinged.
	Heartbeat time.Duration
	// SilenceAfter is how long nothing may arrive on a link before it is closed
	// as silent. It also bounds a dial and each write.
	SilenceAfter time.Duration
	// IdleAfter is how long a link may carry only pings before it is closed.
	IdleAfter time.Duration
	// QueueLimit bounds the queued messages for one VM.
	QueueLimit int
	// SlowHandlers bounds the concurrent handlers registered with HandleSlow.
	SlowHandlers int64
	// Dial opens a connection; the default dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Distance returns how far a VM is, for the metrics; the default is DistanceUnknown.
	Distance func(vm model.VMID) Distance
	// Blocked simulates a network partition: while it returns true, all traffic
	// from and to the VM is dropped. The default blocks nothing.
	Blocked func(vm model.VMID) bool
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewSource(int64(o.Incarnation)))
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.Distance == nil {
		o.Distance = func(model.VMID) Distance { return DistanceUnknown }
	}
	if o.Blocked == nil {
		o.Blocked = func(model.VMID) bool { return false }
	}
	o.Heartbeat = orDefault(o.Heartbeat, DefaultHeartbeat)
	o.SilenceAfter = orDefault(o.SilenceAfter, DefaultSilenceAfter)
	o.IdleAfter = orDefault(o.IdleAfter, DefaultIdleAfter)
	o.QueueLimit = orDefault(o.QueueLimit, DefaultQueueLimit)
	o.SlowHandlers = orDefault(o.SlowHandlers, DefaultSlowHandlers)
	return o
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
