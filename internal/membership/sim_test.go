package membership

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand"
	"sort"
	"testing"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/platform"
)

// maxEventsPerVMSecond is the number of events per VM and second that no fault
// can explain.
const maxEventsPerVMSecond = 200

// sim runs Nodes in virtual time over an in-memory network and store.
type sim struct {
	now         time.Time
	start       time.Time
	rng         *rand.Rand
	queue       simQueue
	eventCount  uint64
	slots       []Self
	procs       map[model.VMID]*simProcess
	lastArrival map[[2]model.VMID]time.Time
	// routes holds the process from which each VM last received a message
	// under a VMID. Its link leads to that process even if a replacement has
	// started since.
	routes   map[[2]model.VMID]*simProcess
	replaced []*simProcess
	// partitioned reports whether two zones cannot reach each other.
	partitioned func(a, b model.Zone) bool
	loss        float64
	store       *simStore
	intervals   Intervals
	// injectBug corrupts a Node after an event, given its records from before,
	// to prove that the oracle detects it.
	injectBug func(n *Node, e Event, before map[model.VMID]Record)
	// onView checks each published view.
	onView  func(p *simProcess, v *View)
	measure bool
	// limitEvents stops the simulation when the Nodes send far too many
	// messages.
	limitEvents bool
}

// simProcess is one process of a slot.
type simProcess struct {
	self        Self
	node        *Node
	view        *View
	running     bool
	pausedUntil time.Time
	backlog     []Event
	sent        uint64
	received    uint64
	messages    uint64
	// yielded marks a process that yielded its slot, leaveRequested one that
	// was asked to leave.
	yielded        bool
	leaveRequested bool
}

type simEvent struct {
	at       time.Time
	sequence uint64
	run      func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simStore simulates the platform's store and VM list.
type simStore struct {
	down         bool
	responseLoss float64
	calls        int
	writes       int
	records      map[model.Zone]StoredZone
	holder       map[model.Zone]platform.LeaseID
	expiry       map[platform.LeaseID]time.Time
	next         platform.LeaseID
}

// simSlots spreads count slots over zones, and the zones over regions.
func simSlots(count, zones, regions int) []Self {
	var slots []Self
	for i := range count {
		zone := i % zones
		slots = append(slots, Self{
			VM:      model.VMID(fmt.Sprintf("vm-%04d", i)),
			Zone:    model.Zone(fmt.Sprintf("zone-%02d", zone)),
			Region:  model.Region(fmt.Sprintf("region-%d", zone%regions)),
			Address: fmt.Sprintf("10.0.%d.%d:8080", i/256, i%256),
		})
	}
	return slots
}

func newSim(seed int64, slots []Self) *sim {
	start := time.Unix(1_000_000, 0)
	return &sim{
		now:         start,
		start:       start,
		rng:         rand.New(rand.NewSource(seed)),
		slots:       slots,
		procs:       map[model.VMID]*simProcess{},
		lastArrival: map[[2]model.VMID]time.Time{},

		routes:      map[[2]model.VMID]*simProcess{},
		partitioned: func(a, b model.Zone) bool { return false },
		intervals:   DefaultIntervals(),
		store: &simStore{
			records: map[model.Zone]StoredZone{},
			holder:  map[model.Zone]platform.LeaseID{},
			expiry:  map[platform.LeaseID]time.Time{},
		},
	}
}

func (s *sim) at(when time.Time, run func()) {
	s.eventCount++
	heap.Push(&s.queue, simEvent{at: when, sequence: s.eventCount, run: run})
}

// run advances virtual time by d.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) && !s.exceedsEventLimit() {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// exceedsEventLimit reports whether the Nodes exchange far more messages than
// expected.
func (s *sim) exceedsEventLimit() bool {
	if !s.limitEvents {
		return false
	}
	perSecond := uint64(maxEventsPerVMSecond * len(s.slots))
	return s.eventCount > perSecond*uint64(10+s.now.Sub(s.start)/time.Second)
}

// boot starts a new process in a slot. An earlier process is stopped unless it
// is paused, in which case it may resume later.
func (s *sim) boot(slot Self) *simProcess {
	if old := s.procs[slot.VM]; old != nil && s.now.Before(old.pausedUntil) {
		s.replaced = append(s.replaced, old)
	} else if old != nil {
		old.running = false
	}
	slot.Incarnation = model.Incarnation(s.rng.Uint64() | 1)
	p := &simProcess{self: slot, running: true}
	p.node = NewNode(NodeOptions{
		Self:      slot,
		Seeds:     s.seeds(),
		Rand:      rand.New(rand.NewSource(s.rng.Int63())),
		Intervals: s.intervals,
	}, s.now)
	s.procs[slot.VM] = p
	s.at(s.now.Add(time.Duration(s.rng.Int63n(int64(s.intervals.Tick)))), func() { s.tick(p) })
	return p
}

// seeds returns the first seven slots, as the settings would.
func (s *sim) seeds() []Seed {
	var seeds []Seed
	for _, slot := range s.slots[:min(len(s.slots), 7)] {
		seeds = append(seeds, Seed{VM: slot.VM, Address: slot.Address})
	}
	return seeds
}

func (s *sim) bootAll() {
	for _, slot := range s.slots {
		s.boot(slot)
	}
}

func (s *sim) tick(p *simProcess) {
	if !p.running {
		return
	}
	s.deliver(p, Tick{})
	s.at(s.now.Add(s.intervals.Tick), func() { s.tick(p) })
}

// deliver applies an event to a process, or queues it until the process's
// pause ends.
func (s *sim) deliver(p *simProcess, e Event) {
	if !p.running {
		return
	}
	if s.now.Before(p.pausedUntil) {
		if _, tick := e.(Tick); !tick {
			p.backlog = append(p.backlog, e)
		}
		return
	}
	backlog := p.backlog
	p.backlog = nil
	for _, event := range append(backlog, e) {
		for _, action := range s.step(p, event) {
			s.execute(p, action)
		}
	}
}

func (s *sim) step(p *simProcess, e Event) []Action {
	if s.injectBug == nil {
		return p.node.Step(s.now, e)
	}
	before := maps.Clone(p.node.table.records)
	actions := p.node.Step(s.now, e)
	s.injectBug(p.node, e, before)
	return actions
}

func (s *sim) execute(p *simProcess, action Action) {
	switch a := action.(type) {
	case SendHeartbeat:
		s.send(p, a.To, peer.KindHeartbeat, a.Heartbeat, HeartbeatReceived{From: p.self.VM, Heartbeat: a.Heartbeat})
	case SendDelta:
		s.send(p, a.To, peer.KindZoneDelta, a.Delta, DeltaReceived{From: p.self.VM, Delta: a.Delta})
	case SendProbe:
		s.send(p, a.To, peer.KindProbe, a.Probe, ProbeReceived{From: p.self.VM, Probe: a.Probe})
	case Publish:
		if s.onView != nil {
			s.onView(p, a.View)
		}
		p.view = a.View
	case Superseded:
		p.running = false
		p.yielded = true
	default:
		s.platform(p, action)
	}
}

func (s *sim) send(p *simProcess, to model.VMID, kind peer.Kind, body any, e Event) {
	target := s.route(p.self.VM, to)
	if target == nil || !target.running || s.partitioned(p.self.Zone, target.self.Zone) {
		return
	}
	if s.measure {
		size := uint64(messageBytes(body))
		p.sent += size
		p.messages++
		target.received += size
	}
	if s.rng.Float64() < s.loss {
		return
	}
	pair := [2]model.VMID{p.self.VM, to}
	when := s.now.Add(s.delay(p, target))
	if last := s.lastArrival[pair]; when.Before(last) {
		when = last
	}
	s.lastArrival[pair] = when
	s.at(when, func() {
		s.routes[[2]model.VMID{to, p.self.VM}] = p
		s.deliver(target, e)
	})
}

// route returns the process that a message to a VMID reaches.
func (s *sim) route(from, to model.VMID) *simProcess {
	if linked := s.routes[[2]model.VMID{from, to}]; linked != nil && linked.running {
		return linked
	}
	return s.procs[to]
}

// messageBytes returns the size of a message on a link: the body, its envelope
// and the WebSocket frame.
func messageBytes(body any) int {
	const envelopeBytes = 5
	data, err := peer.Marshal(body)
	if err != nil {
		panic(err)
	}
	return peer.FrameBytes(len(data)+envelopeBytes, true)
}

func (s *sim) delay(a, b *simProcess) time.Duration {
	base := time.Millisecond
	if a.self.Region != b.self.Region {
		base = 35 * time.Millisecond
	}
	return base + time.Duration(s.rng.Int63n(int64(time.Millisecond)))
}

// platform responds to a platform call after a delay. A lost response looks
// like an unavailable store although the call took effect.
func (s *sim) platform(p *simProcess, action Action) {
	failed, result := s.store.call(s, p, action)
	if result == nil {
		return
	}
	if s.store.down || s.rng.Float64() < s.store.responseLoss {
		result = failed
	}
	s.at(s.now.Add(5*time.Millisecond), func() { s.deliver(p, result) })
}

func (st *simStore) call(s *sim, p *simProcess, action Action) (failed, result Event) {
	if !st.down {
		st.calls++
	}
	switch a := action.(type) {
	case ReadZoneRecords:
		return ZoneRecordsRead{Zone: a.Zone, Failed: true}, ZoneRecordsRead{Zone: a.Zone, Records: st.read(a.Zone)}
	case WriteZoneRecord:
		return ZoneRecordWritten{}, ZoneRecordWritten{Version: st.write(a)}
	case ReadVMList:
		return VMListRead{Failed: true}, VMListRead{VMs: s.vmList()}
	case AcquireLease:
		return LeaseFailed{}, st.acquire(s.now, a.Zone, s.intervals.LeaseTTL)
	case RenewLease:
		return LeaseFailed{}, st.renew(s.now, a.Lease, s.intervals.LeaseTTL)
	case ReleaseLease:
		if !st.down {
			delete(st.expiry, a.Lease)
		}
	}
	return nil, nil
}

func (s *sim) vmList() []platform.VM {
	var vms []platform.VM
	for _, slot := range s.slots {
		vms = append(vms, platform.VM{
			ID: string(slot.VM), Role: platform.RoleEntry, Zone: slot.Zone,
			Address: slot.Address, State: platform.VMLive,
		})
	}
	return vms
}

func (st *simStore) read(zone model.Zone) []StoredZone {
	var found []StoredZone
	for _, name := range sortedKeys(st.records) {
		if zone == "" || name == zone {
			found = append(found, st.records[name])
		}
	}
	return found
}

func (st *simStore) write(a WriteZoneRecord) uint64 {
	if st.down || st.records[a.Zone].Version != a.Expect {
		return 0
	}
	st.writes++
	st.records[a.Zone] = StoredZone{Zone: a.Zone, Version: a.Expect + 1, Members: a.Members}
	return a.Expect + 1
}

func (st *simStore) acquire(now time.Time, zone model.Zone, ttl time.Duration) Event {
	if st.down || st.expiry[st.holder[zone]].After(now) {
		return LeaseFailed{}
	}
	st.next++
	st.holder[zone] = st.next
	st.expiry[st.next] = now.Add(ttl)
	return LeaseAcquired{Lease: st.next}
}

func (st *simStore) renew(now time.Time, lease platform.LeaseID, ttl time.Duration) Event {
	if !st.expiry[lease].After(now) {
		return LeaseLost{}
	}
	if !st.down {
		st.expiry[lease] = now.Add(ttl)
	}
	return LeaseRenewed{}
}

// firstViewError compares every running process's view with the processes that
// it can reach, and describes the first difference.
func (s *sim) firstViewError() string {
	var vms []model.VMID
	for vm := range s.procs {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i] < vms[j] })
	for _, vm := range vms {
		if p := s.procs[vm]; p.running {
			if diff := s.viewError(p); diff != "" {
				return fmt.Sprintf("%s at %s: %s", vm, s.now.Sub(s.start), diff)
			}
		}
	}
	return ""
}

// viewError is the oracle. What p must know follows only from the running
// processes and the partitioned zones, never from the state of a Node.
func (s *sim) viewError(p *simProcess) string {
	if p.view == nil {
		return "no view"
	}
	for vm, other := range s.procs {
		m, known := p.view.Find(vm)
		expected := other.running && !s.partitioned(p.self.Zone, other.self.Zone)
		switch {
		case expected && m.State != StateAlive:
			return fmt.Sprintf("%s is running but its state is %s", vm, m.State)
		case expected && m.Incarnation != other.self.Incarnation:
			return fmt.Sprintf("%s has incarnation %d, the view shows %d", vm, other.self.Incarnation, m.Incarnation)
		case !expected && known && m.State != StateDead:
			return fmt.Sprintf("%s is unreachable but its state is %s", vm, m.State)
		}
	}
	return ""
}

// waitForAgreement runs until all views are correct and returns how long it
// took.
func (s *sim) waitForAgreement(t testing.TB, limit time.Duration) time.Duration {
	t.Helper()
	from := s.now
	for s.now.Sub(from) < limit {
		s.run(50 * time.Millisecond)
		if s.firstViewError() == "" {
			return s.now.Sub(from)
		}
	}
	t.Fatalf("no agreement after %s: %s", limit, s.firstViewError())
	return 0
}
