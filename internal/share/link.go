package share

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/replica"
)

// sequenceModulus bounds the sequence numbers on the wire to one byte. So many lost
// messages in succession would go unnoticed, but the link ends long before. A new process
// of the sender begins with the whole state; if that message is lost, its next one has
// another number than the old process would have used, but for one time in 128.
const sequenceModulus = 128

const (
	// maxLoadBudget is the size in bytes of the loads of an ordinary message. A region of
	// ten VMs with three requests per VM in 100 ms and four servers per VM rarely needs
	// more.
	maxLoadBudget = 160
	// budgetServers is the number of servers up to which messages have that size.
	budgetServers = 160
	// minLoadBudget is the size with many servers. It keeps the bytes of a VM in a fleet
	// of 300 VMs and 1,200 servers within a tenth of those with 30 VMs and 120 servers.
	minLoadBudget = 38
	// regionLoadBudget is the least size of messages to other regions.
	regionLoadBudget = 48
	// parentLoadBudget is the least size of messages to the parent, and parentServers the
	// number of servers for each byte of it. They are small but near the root, and must
	// tell of single requests: a queue that many VMs add one request to is visible only
	// where these are summed up.
	parentLoadBudget = 64
	parentServers    = 8
)

// loadBudget returns the size in bytes of the loads of an ordinary message. With many
// servers, each would be reported too rarely to follow its ordinary fluctuation, whatever
// the size that a VM can bear; what counts then are the large changes, which come first.
func (l *link) loadBudget(servers int) int {
	least := minLoadBudget
	switch l.direction {
	case toParent:
		least = max(parentLoadBudget, min(servers/parentServers, maxLoadBudget))
	case toRegion:
		least = regionLoadBudget
	}
	return max(maxLoadBudget*budgetServers/max(servers, budgetServers), least)
}

// resetBudget is the same of a message that holds the whole state.
const resetBudget = 16 << 10

// maxNewServers bounds the servers that get a number in one message, eight bytes each,
// unless it holds the whole state.
const maxNewServers = 64

// link is the exchange with one neighbour: a stream of messages in each direction.
type link struct {
	vm        catalog.VM
	direction uint64
	createdAt time.Time
	// heardAt is the time of the last message, zero before the first.
	heardAt time.Time
	// waitingSince is the time of the first message sent since the neighbour was heard;
	// zero if there is none.
	waitingSince time.Time
	// reported reports that a child has been heard since the last message to it.
	reported bool
	// replyDue asks for a message to a neighbour without traffic.
	replyDue bool
	out      outStream
	in       inStream
}

// quiet reports whether the neighbour wants no loads.
func (l *link) quiet() bool { return l.in.quiet }

// outStream is the state of the messages sent to a neighbour.
type outStream struct {
	stream, sequence uint64
	// resetDue makes the next message hold the whole state.
	resetDue bool
	// withLoads reports whether the last message could hold loads.
	withLoads bool
	// numbers maps the index of a server to its number plus one, order is the reverse,
	// and loads the values sent by index.
	numbers []int32
	order   []int32
	loads   []int32
	// cursor is the number of the server at which the next message begins to take
	// changes of the least size that has room.
	cursor int
	// counterNumbers, totals and sentTotals belong to the cumulative counters.
	counterNumbers map[CounterKey]int
	counterOrder   []CounterKey
	totals         map[CounterKey]uint64
	sentTotals     []uint64
	changedKeys    map[CounterKey]bool
	// unsent holds the increments since the last message, and unconfirmed those sent since
	// the neighbour was last heard. A new parent gets them after its baseline.
	unsent, unconfirmed map[CounterKey]uint64
	// held holds increments to add after the first message, which is the baseline.
	held map[CounterKey]uint64
	// position and source are those last sent.
	position replica.Position
	source   model.VMID
	// statements, leaving and speeds hold what was last sent, and when.
	statements map[uint64]statement
	leaving    map[leavingServer]time.Time
	speeds     map[speedKey]speed
}

// inStream is the state of the messages received from a neighbour.
type inStream struct {
	stream, sequence uint64
	// synced reports that no message has been missed since the last reset.
	synced bool
	quiet  bool
	// servers maps numbers to indexes, and loads the values by index.
	servers []int32
	loads   []int32
	keys    []CounterKey
	totals  map[CounterKey]uint64
	// position and source are the latest position that the neighbour knows of and the VM
	// that has it.
	position replica.Position
	source   model.VMID
}

func newLink(vm catalog.VM, direction uint64, stream uint64, now time.Time) *link {
	return &link{vm: vm, direction: direction, createdAt: now, out: outStream{
		stream: stream, resetDue: true, counterNumbers: map[CounterKey]int{}, totals: map[CounterKey]uint64{},
		changedKeys: map[CounterKey]bool{}, unsent: map[CounterKey]uint64{}, unconfirmed: map[CounterKey]uint64{}, statements: map[uint64]statement{},
		leaving: map[leavingServer]time.Time{}, speeds: map[speedKey]speed{},
	}}
}

// reset forgets what the neighbour has been sent, except the cumulative totals.
func (o *outStream) reset() {
	o.numbers, o.order, o.loads = nil, nil, nil
	o.counterNumbers, o.counterOrder, o.sentTotals = map[CounterKey]int{}, nil, nil
	for key := range o.totals {
		o.changedKeys[key] = true
	}
	o.position, o.source = replica.Position{}, ""
	clear(o.statements)
	clear(o.leaving)
	clear(o.speeds)
	o.resetDue = false
}

// count adds to the total of a counter.
func (o *outStream) count(key CounterKey, increment uint64) {
	o.totals[key] += increment
	o.unsent[key] += increment
	o.changedKeys[key] = true
}

// confirm records that the neighbour was heard.
func (o *outStream) confirm() { clear(o.unconfirmed) }

// undelivered returns the increments that the neighbour may not have passed on. Some of
// them may have been: sums that are a little too high break no limit.
func (o *outStream) undelivered() map[CounterKey]uint64 {
	increments := maps.Clone(o.unsent)
	for _, more := range []map[CounterKey]uint64{o.unconfirmed, o.held} {
		for key, increment := range more {
			increments[key] += increment
		}
	}
	return increments
}

// appendCounters adds the counters that changed to m.
func (o *outStream) appendCounters(m *message) {
	byHash := func(a, b CounterKey) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Hash, b.Hash))
	}
	for _, key := range slices.SortedFunc(maps.Keys(o.changedKeys), byHash) {
		if _, ok := o.counterNumbers[key]; !ok {
			o.counterNumbers[key] = len(o.counterOrder)
			o.counterOrder = append(o.counterOrder, key)
			o.sentTotals = append(o.sentTotals, 0)
			m.newKeys = append(m.newKeys, key)
		}
	}
	if len(o.changedKeys) == 0 {
		return
	}
	m.flags |= flagCounters
	for number, key := range o.counterOrder {
		if o.changedKeys[key] {
			o.sentTotals[number] = o.totals[key]
			m.counters = append(m.counters, numbered{uint64(number), o.totals[key]})
		}
	}
	clear(o.changedKeys)
	for key, increment := range o.unsent {
		o.unconfirmed[key] += increment
	}
	clear(o.unsent)
}

// change is a load that differs from the one that the neighbour knows.
type change struct {
	index, number int32
	value, size   int32
}

// appendLoads adds to m the loads that differ from those sent, the largest changes first
// if there are more than the budget allows. value returns the load of the server with an
// index.
func (o *outStream) appendLoads(m *message, budget int, servers []uint64, value func(index int) int32) {
	for len(o.loads) < len(servers) {
		o.loads, o.numbers = append(o.loads, 0), append(o.numbers, 0)
	}
	unnamed := maxNewServers
	if m.has(flagReset) {
		budget, unnamed = resetBudget, len(servers)
	}
	changes := o.changes(servers, value)
	selected := o.selectChanges(changes, budget, unnamed)
	for i, c := range selected {
		if c.number < 0 {
			o.order = append(o.order, c.index)
			o.numbers[c.index] = int32(len(o.order))
			selected[i].number = int32(len(o.order)) - 1
			m.newServers = append(m.newServers, servers[c.index])
		}
		o.loads[c.index] = c.value
	}
	if len(selected) == 0 {
		return
	}
	m.flags |= flagLoads
	slices.SortFunc(selected, compareNumbers)
	for _, c := range selected {
		m.loads = append(m.loads, numbered{uint64(c.number), uint64(c.value)})
	}
}

// changes returns the loads that differ from those sent.
func (o *outStream) changes(servers []uint64, value func(index int) int32) []change {
	var changes []change
	for index := range servers {
		if v := value(index); v != o.loads[index] {
			changes = append(changes, change{int32(index), o.numbers[index] - 1, v, abs(v - o.loads[index])})
		}
	}
	return changes
}

// selectChanges returns the changes that fit: those of the largest size, and of the
// least size with room those from the cursor on.
func (o *outStream) selectChanges(changes []change, budget, unnamed int) []change {
	slices.SortFunc(changes, compareNumbers)
	if start := len(changes); estimatedBytes(changes) > budget {
		for i, c := range changes {
			if int(c.number) >= o.cursor {
				start = i
				break
			}
		}
		changes = append(changes[start:len(changes):len(changes)], changes[:start]...)
		slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(b.size, a.size) })
	}
	var selected []change
	for _, c := range changes {
		cost := c.bytes()
		if budget < cost {
			break
		}
		if c.number < 0 {
			if unnamed == 0 {
				continue
			}
			unnamed--
		}
		budget -= cost
		selected = append(selected, c)
		o.cursor = int(c.number) + 1
	}
	return selected
}

// compareNumbers orders changes by number. Servers without one follow the others.
func compareNumbers(a, b change) int {
	return cmp.Or(cmp.Compare(uint32(a.number), uint32(b.number)), cmp.Compare(a.index, b.index))
}

// bytes estimates the size of a change in a message, without the name of the server.
func (c change) bytes() int {
	if c.value >= inlineValue {
		return 3
	}
	return 2
}

func estimatedBytes(changes []change) int {
	total := 0
	for _, c := range changes {
		total += c.bytes()
	}
	return total
}

func abs(v int32) int32 {
	if v < 0 {
		return -v
	}
	return v
}
