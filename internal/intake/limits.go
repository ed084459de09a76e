// Package intake bounds what clients can make an entry VM hold: connections,
// descriptors and memory. It accounts connections, headers, bodies and buffered
// responses under one budget per VM, evicts clients that hold them without making
// progress, and refuses what does not fit.
//
// Table, its order of eviction and ServerBytes are pure: they take the time as an
// argument and know no sockets. Guard applies their decisions to listeners.
package intake

import "time"

const (
	// memoryShare is the fraction of the VM's memory that is held for clients. The
	// runtime's soft limit is 0.6 of the memory, which also has to hold the program's own
	// state and what awaits garbage collection.
	memoryShare = 0.3
	// defaultMemoryMB is assumed where the settings state no memory: the larger of the
	// two sizes of VMs.
	defaultMemoryMB = 536
	// largeHolderShare is the fraction of the budget that holders of more than
	// SmallHolding may use together, so that small requests are served beside large ones.
	largeHolderShare = 0.75
	// SmallHolding is what a request may hold and still use the whole budget.
	SmallHolding = 64 << 10

	// clientShare is the fraction of the descriptors for clients of all listeners.
	clientShare = 0.45
	// ownShare and ownMinimum are the descriptors for links to VMs, the store and files.
	ownShare   = 0.1
	ownMinimum = 32
	// defaultDescriptors is assumed where neither settings nor system limit them.
	defaultDescriptors = 8192
	// minConnections is the least limit of a listener.
	minConnections = 8

	// connectionCost is accounted for each connection, requestCost in addition while a
	// request is in progress: buffers and stacks of net/http, and the connection to the
	// server. 450 requests without bodies took 17 KB each.
	connectionCost = 4 << 10
	requestCost    = 32 << 10
	// fieldCost is accounted for each field of a header besides its bytes. 1.2 million
	// fields took 63 bytes each once parsed; the copy for the server takes as much again.
	fieldCost = 160
	// smallHeader is what the header of a probe or a look-up is accounted with at most: 8
	// fields and 1 KiB are accounted with 2.3 KiB.
	smallHeader = 8 << 10
	// DefaultHeaderBytes is assumed while the operator's limit on headers is unknown.
	DefaultHeaderBytes = 16 << 10
	// minFieldBytes is the length of the shortest header field, "a:" and its line end.
	minFieldBytes = 4
	// fieldSlack covers the lines of a request that are no header fields.
	fieldSlack = 8
)

// Times and rates after which a client is too slow.
const (
	// defaultHeaderTime is the time for a header if the operator states none.
	defaultHeaderTime = 10 * time.Second
	// headerMargin is added to the operator's time for a header.
	headerMargin = 2 * time.Second
	// rateGrace is the time that a body or the reading of a response may take without
	// regard to its rate.
	rateGrace = 10 * time.Second
	// minRate is the least average rate, in bytes per second, of a body and of the
	// reading of a response after rateGrace. 1,000 clients that share a link of 10 Mbit/s
	// have 1,250 each.
	minRate = 512
	// stalledAfter is the time without a byte after which a client may be evicted for
	// others. A lost packet is retransmitted within a second.
	stalledAfter = time.Second
	// defaultIdleTime is the time after which an idle connection is evicted first if the
	// operator states none.
	defaultIdleTime = 15 * time.Second
	// newcomerTime is the time in which a new connection is not evicted for its silence
	// while others can be.
	newcomerTime = 250 * time.Millisecond
	// largerHolderFactor is how many times as much as the requester a client must hold to
	// be evicted for it.
	largerHolderFactor = 8
)

// Listener identifies a listener of the VM.
type Listener uint8

// Listeners.
const (
	Front Listener = iota
	Ready
	Directory
	Peer
	Metrics
	listenerCount
)

// String returns the value of the metrics' label.
func (l Listener) String() string {
	return [...]string{"front", "ready", "directory", "peer", "metrics"}[l]
}

// listenerShares divides the connections of clients.
var listenerShares = [listenerCount]float64{Front: 0.8, Ready: 0.04, Directory: 0.06, Peer: 0.08, Metrics: 0.02}

// Limits are the budgets of a VM.
type Limits struct {
	// Memory is the number of bytes that may be held for clients.
	Memory int64
	// Connections is the number of connections of clients by listener.
	Connections [listenerCount]int
	// ServerConnections is the number of connections to backend servers.
	ServerConnections int
}

// NewLimits returns the budgets of a VM with the given memory and descriptors; zero if
// unknown.
func NewLimits(memoryMB, descriptors int) Limits {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	limits := Limits{Memory: int64(float64(memoryMB) * memoryShare * (1 << 20))}
	clients := 0
	for i, share := range listenerShares {
		limits.Connections[i] = max(int(float64(descriptors)*clientShare*share), minConnections)
		clients += limits.Connections[i]
	}
	own := ownMinimum + int(float64(descriptors)*ownShare)
	limits.ServerConnections = max(descriptors-clients-own, minConnections)
	return limits
}

// Operator holds the limits in the operator's configuration; zero where unknown.
type Operator struct {
	HeaderBytes          int
	HeaderTime, IdleTime time.Duration
}

func (o Operator) maxFields() int {
	bytes := o.HeaderBytes
	if bytes <= 0 {
		bytes = DefaultHeaderBytes
	}
	return bytes/minFieldBytes + fieldSlack
}

func (o Operator) headerTime() time.Duration {
	if o.HeaderTime <= 0 {
		return defaultHeaderTime
	}
	return o.HeaderTime + headerMargin
}

func (o Operator) idleTime() time.Duration {
	if o.IdleTime <= 0 {
		return defaultIdleTime
	}
	return o.IdleTime
}
