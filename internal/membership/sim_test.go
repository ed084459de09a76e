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

// stormPerVM is the count of events a second of one VM that no fault explains.
const stormPerVM = 200

// sim runs Nodes in virtual time over an in-memory network and store.
type sim struct {
	now    time.Time
	start  time.Time
	rng    *rand.Rand
	queue  simQueue
	number uint64
	slots  []Self
	procs  map[model.VMID]*proc
	last   map[[2]model.VMID]time.Time
	// routes holds the process that each VM last heard under a VMID: its link
	// leads there also when a replacement has started since.
	routes   map[[2]model.VMID]*proc
	replaced []*proc
	// cut reports whether two zones cannot reach one another.
	cut   func(a, b model.Zone) bool
	loss  float64
	store *simStore
	pace  Intervals
	// breakNode changes a Node after an event on purpose, given its records before,
	// to prove that the oracle notices.
	breakNode func(n *Node, e Event, before map[model.VMID]Record)
	// onView checks each published view.
	onView  func(p *proc, v *View)
	measure bool
	// bounded stops the simulation when the Nodes send far too much.
	bounded bool
}

// proc is one process of a slot.
type proc struct {
	self     Self
	node     *Node
	view     *View
	running  bool
	paused   time.Time
	backlog  []Event
	sent     uint64
	received uint64
	messages uint64
	// stopped marks a process that gave its slot up, left one asked to leave.
	stopped bool
	left    bool
}

type simEvent struct {
	at     time.Time
	number uint64
	run    func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].number < q[j].number
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simStore stands in for the platform's store and VM list.
type simStore struct {
	down    bool
	lost    float64
	calls   int
	writes  int
	records map[model.Zone]StoredZone
	holder  map[model.Zone]platform.LeaseID
	expiry  map[platform.LeaseID]time.Time
	next    platform.LeaseID
}

// simSlots spreads count slots over zones, and those over regions.
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
		now:   start,
		start: start,
		rng:   rand.New(rand.NewSource(seed)),
		slots: slots,
		procs: map[model.VMID]*proc{},
		last:  map[[2]model.VMID]time.Time{},

		routes: map[[2]model.VMID]*proc{},
		cut:    func(a, b model.Zone) bool { return false },
		pace:   DefaultIntervals(),
		store: &simStore{
			records: map[model.Zone]StoredZone{},
			holder:  map[model.Zone]platform.LeaseID{},
			expiry:  map[platform.LeaseID]time.Time{},
		},
	}
}

func (s *sim) at(when time.Time, run func()) {
	s.number++
	heap.Push(&s.queue, simEvent{at: when, number: s.number, run: run})
}

// run lets virtual time pass.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) && !s.storm() {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// storm reports whether the Nodes exchange far more messages than they should.
func (s *sim) storm() bool {
	if !s.bounded {
		return false
	}
	perSecond := uint64(stormPerVM * len(s.slots))
	return s.number > perSecond*uint64(10+s.now.Sub(s.start)/time.Second)
}

// boot starts a new process in a slot. An earlier one is gone, unless it is
// paused: then it may wake up later.
func (s *sim) boot(slot Self) *proc {
	if old := s.procs[slot.VM]; old != nil && s.now.Before(old.paused) {
		s.replaced = append(s.replaced, old)
	} else if old != nil {
		old.running = false
	}
	slot.Incarnation = model.Incarnation(s.rng.Uint64() | 1)
	p := &proc{self: slot, running: true}
	p.node = NewNode(NodeOptions{
		Self:      slot,
		Seeds:     s.seeds(),
		Rand:      rand.New(rand.NewSource(s.rng.Int63())),
		Intervals: s.pace,
	}, s.now)
	s.procs[slot.VM] = p
	s.at(s.now.Add(time.Duration(s.rng.Int63n(int64(s.pace.Tick)))), func() { s.tick(p) })
	return p
}

// seeds names the first few slots, as settings do.
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

func (s *sim) tick(p *proc) {
	if !p.running {
		return
	}
	s.deliver(p, Tick{})
	s.at(s.now.Add(s.pace.Tick), func() { s.tick(p) })
}

// deliver steps a process, or keeps the event until its pause ends.
func (s *sim) deliver(p *proc, e Event) {
	if !p.running {
		return
	}
	if s.now.Before(p.paused) {
		if _, tick := e.(Tick); !tick {
			p.backlog = append(p.backlog, e)
		}
		return
	}
	backlog := p.backlog
	p.backlog = nil
	for _, late := range append(backlog, e) {
		for _, action := range s.step(p, late) {
			s.carryOut(p, action)
		}
	}
}

func (s *sim) step(p *proc, e Event) []Action {
	if s.breakNode == nil {
		return p.node.Step(s.now, e)
	}
	before := maps.Clone(p.node.table.records)
	actions := p.node.Step(s.now, e)
	s.breakNode(p.node, e, before)
	return actions
}

func (s *sim) carryOut(p *proc, action Action) {
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
		p.stopped = true
	default:
		s.platform(p, action)
	}
}

func (s *sim) send(p *proc, to model.VMID, kind peer.Kind, body any, e Event) {
	target := s.route(p.self.VM, to)
	if target == nil || !target.running || s.cut(p.self.Zone, target.self.Zone) {
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
	if last := s.last[pair]; when.Before(last) {
		when = last
	}
	s.last[pair] = when
	s.at(when, func() {
		s.routes[[2]model.VMID{to, p.self.VM}] = p
		s.deliver(target, e)
	})
}

// route returns the process that a message to a VMID reaches.
func (s *sim) route(from, to model.VMID) *proc {
	if linked := s.routes[[2]model.VMID{from, to}]; linked != nil && linked.running {
		return linked
	}
	return s.procs[to]
}

// messageBytes is the size of a message on a link: the body, its envelope and
// the WebSocket frame around them.
func messageBytes(body any) int {
	const envelopeBytes = 5
	data, err := peer.Marshal(body)
	if err != nil {
		panic(err)
	}
	return peer.FrameBytes(len(data)+envelopeBytes, true)
}

func (s *sim) delay(a, b *proc) time.Duration {
	base := time.Millisecond
	if a.self.Region != b.self.Region {
		base = 35 * time.Millisecond
	}
	return base + time.Duration(s.rng.Int63n(int64(time.Millisecond)))
}

// platform answers a platform call after a while. A lost answer looks like an
// unavailable store although the call took effect.
func (s *sim) platform(p *proc, action Action) {
	failed, result := s.store.call(s, p, action)
	if result == nil {
		return
	}
	if s.store.down || s.rng.Float64() < s.store.lost {
		result = failed
	}
	s.at(s.now.Add(5*time.Millisecond), func() { s.deliver(p, result) })
}

func (st *simStore) call(s *sim, p *proc, action Action) (failed, result Event) {
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
		return LeaseFailed{}, st.acquire(s.now, a.Zone, s.pace.LeaseTTL)
	case RenewLease:
		return LeaseFailed{}, st.renew(s.now, a.Lease, s.pace.LeaseTTL)
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

// disagreement compares every running process's view with the processes that
// it can reach, and describes the first difference.
func (s *sim) disagreement() string {
	var vms []model.VMID
	for vm := range s.procs {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i] < vms[j] })
	for _, vm := range vms {
		if p := s.procs[vm]; p.running {
			if diff := s.difference(p); diff != "" {
				return fmt.Sprintf("%s at %s: %s", vm, s.now.Sub(s.start), diff)
			}
		}
	}
	return ""
}

// difference is the oracle: what p must believe follows from the processes
// that run and the zones that are cut, and from nothing in a Node.
func (s *sim) difference(p *proc) string {
	if p.view == nil {
		return "no view"
	}
	for vm, other := range s.procs {
		m, known := p.view.Find(vm)
		expected := other.running && !s.cut(p.self.Zone, other.self.Zone)
		switch {
		case expected && m.State != StateAlive:
			return fmt.Sprintf("%s runs but is %s", vm, m.State)
		case expected && m.Incarnation != other.self.Incarnation:
			return fmt.Sprintf("%s has incarnation %d, believed %d", vm, other.self.Incarnation, m.Incarnation)
		case !expected && known && m.State != StateDead:
			return fmt.Sprintf("%s cannot be reached but is %s", vm, m.State)
		}
	}
	return ""
}

// waitAgreed runs until all views are right and returns how long it took.
func (s *sim) waitAgreed(t testing.TB, limit time.Duration) time.Duration {
	t.Helper()
	from := s.now
	for s.now.Sub(from) < limit {
		s.run(50 * time.Millisecond)
		if s.disagreement() == "" {
			return s.now.Sub(from)
		}
	}
	t.Fatalf("no agreement after %s: %s", limit, s.disagreement())
	return 0
}
