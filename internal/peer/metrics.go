package peer

import (
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// Traffic counts the bytes of WebSocket frames on all links of a process since its
// start. It excludes TCP and IP headers and the WebSocket handshake.
type Traffic struct {
	SentBytes     uint64
	ReceivedBytes uint64
}

// Sizes of WebSocket frame headers, in bytes.
const (
	shortHeader  = 2
	mediumHeader = 4
	longHeader   = 10
	maskBytes    = 4
	shortLimit   = 126
	mediumLimit  = 1 << 16
)

// FrameBytes returns the size in bytes of a WebSocket frame with payload bytes of
// payload. Frames from the dialling side are masked.
func FrameBytes(payload int, masked bool) int {
	size := payload + headerBytes(payload)
	if masked {
		size += maskBytes
	}
	return size
}

func headerBytes(payload int) int {
	switch {
	case payload < shortLimit:
		return shortHeader
	case payload < mediumLimit:
		return mediumHeader
	default:
		return longHeader
	}
}

type metrics struct {
	scope            tally.Scope
	sent             atomic.Uint64
	received         atomic.Uint64
	dials            tally.Counter
	dialFailures     tally.Counter
	silentLinks      tally.Counter
	idleLinks        tally.Counter
	replacedLinks    tally.Counter
	queueFull        tally.Counter
	slowHandlersBusy tally.Counter
	links            tally.Gauge
	// byKind holds *kindCounters by counterKey.
	byKind sync.Map
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("peer")
	return &metrics{
		scope:            scope,
		dials:            scope.Counter("dials"),
		dialFailures:     scope.Counter("dial_failures"),
		silentLinks:      scope.Counter("links_silent"),
		idleLinks:        scope.Counter("links_idle"),
		replacedLinks:    scope.Counter("links_replaced"),
		queueFull:        scope.Counter("queue_full"),
		slowHandlersBusy: scope.Counter("slow_handlers_busy"),
		links:            scope.Gauge("links"),
	}
}

// countSent counts a message of a kind and its bytes by how far the other VM is.
func (m *metrics) countSent(kind Kind, distance Distance, bytes int) {
	m.sent.Add(uint64(bytes))
	m.counters(kind, distance).sent(bytes)
}

func (m *metrics) countReceived(kind Kind, distance Distance, bytes int) {
	m.received.Add(uint64(bytes))
	m.counters(kind, distance).received(bytes)
}

// kindCounters count the messages of one kind from and to VMs at one distance.
type kindCounters struct {
	sentBytes, sentMessages, receivedBytes, receivedMessages tally.Counter
}

func (c *kindCounters) sent(bytes int) {
	c.sentBytes.Inc(int64(bytes))
	c.sentMessages.Inc(1)
}

func (c *kindCounters) received(bytes int) {
	c.receivedBytes.Inc(int64(bytes))
	c.receivedMessages.Inc(1)
}

// counters returns the counters of a kind and distance, which are looked up by their tags
// only once.
func (m *metrics) counters(kind Kind, distance Distance) *kindCounters {
	key := counterKey{kind, distance}
	if c, ok := m.byKind.Load(key); ok {
		return c.(*kindCounters)
	}
	scope := m.scope.Tagged(map[string]string{"kind": kind.String(), "scope": string(distance)})
	c, _ := m.byKind.LoadOrStore(key, &kindCounters{
		sentBytes: scope.Counter("sent_bytes"), sentMessages: scope.Counter("sent_messages"),
		receivedBytes: scope.Counter("received_bytes"), receivedMessages: scope.Counter("received_messages"),
	})
	return c.(*kindCounters)
}

type counterKey struct {
	kind     Kind
	distance Distance
}
