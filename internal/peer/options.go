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

// Path is where a process serves the links of its peers.
const Path = "/v1/peer"

// Defaults of Options.
const (
	DefaultHeartbeat    = 400 * time.Millisecond
	DefaultSilenceAfter = 1500 * time.Millisecond
	DefaultIdleAfter    = time.Minute
	DefaultQueueLimit   = 256
	DefaultSlowHandlers = 64
)

// Bounds on the delay between two attempts to reach a VM.
const (
	minDialDelay = 50 * time.Millisecond
	maxDialDelay = 500 * time.Millisecond
)

// Options configure a Mesh. Zero durations and counts take the defaults.
type Options struct {
	Self        model.VMID
	Incarnation model.Incarnation
	Logger      *log.Logger
	Scope       tally.Scope
	// Rand spreads reconnects. The Mesh guards it with its own lock.
	Rand *rand.Rand
	// Heartbeat is how long a link may be quiet before it is pinged.
	Heartbeat time.Duration
	// SilenceAfter is how long a link may be quiet before it is abandoned.
	SilenceAfter time.Duration
	// IdleAfter is how long a link may carry only pings before it is closed.
	IdleAfter time.Duration
	// QueueLimit bounds the messages that wait for one VM.
	QueueLimit int
	// SlowHandlers bounds the handlers that run on goroutines of their own.
	SlowHandlers int64
	// Dial opens a connection; nil takes TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Blocked drops all traffic from and to a VM while it returns true, as a
	// network partition would. Nil blocks nothing.
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
