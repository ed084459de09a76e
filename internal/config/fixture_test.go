package config

import (
	"context"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"time"

	"fuchsiaspar/internal/explain"
	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/platform/standin"
)

// testZones are six zones in three regions. In testSlots, the first zone has
// two entry VMs.
var testZones = []Zone{
	{"lj-1", "lj"}, {"lj-2", "lj"}, {"mb-1", "mb"}, {"mb-2", "mb"}, {"kp-1", "kp"}, {"kp-2", "kp"},
}

var testSlots = []Slot{
	{"vm0", "lj-1"}, {"vm1", "lj-1"}, {"vm2", "lj-2"}, {"vm3", "mb-1"}, {"vm4", "mb-2"}, {"vm5", "kp-1"}, {"vm6", "kp-2"},
}

func testTemplate() Template {
	return Template{
		Name:    "lease",
		Service: "lease-desk",
		Places:  []model.Zone{"lj-1", "lj-2", "mb-1"},
		Server:  ServerClass{Slots: 3, MaxConns: 360},
		Floors:  Floors{Urgent: 50, Normal: 20, Bulk: 10},
		Classes: []Class{
			{Name: "reserve", Method: "POST", PathPrefix: "/reservations", Priority: model.PriorityUrgent,
				Highest: model.PriorityUrgent, Lowest: model.PriorityNormal, Deadline: model.Duration(time.Second)},
			{Name: "any", PathPrefix: "/", Priority: model.PriorityNormal,
				Highest: model.PriorityUrgent, Lowest: model.PriorityBulk, Idempotent: true, Deadline: model.Duration(time.Second)},
		},
		QueueLimit:   100,
		RetryPercent: 10,
		ShiftCap:     Range{Min: 0, Max: 1000, Default: 100},
		Weight:       Range{Min: 1, Max: 10, Default: 1},
	}
}

func testAccount(id model.AccountID, shiftCap int64) Account {
	return Account{ID: id, Services: []AccountService{{Template: "lease", ShiftCap: &shiftCap}}}
}

// testDocument returns a valid document with testZones, testSlots and two
// accounts.
func testDocument() *Document {
	return &Document{
		Revision:  1,
		Lookup:    Lookup{TTL: model.Duration(2 * time.Second)},
		Zones:     testZones,
		Slots:     testSlots,
		Links:     []Link{{From: "lj", To: "mb", BytesPerSecond: 500_000_000}},
		Templates: []Template{testTemplate()},
		Accounts:  []Account{testAccount("acct0", 10), testAccount("acct1", 20)},
		Drains:    []Drain{},
	}
}

// fleet is a set of services that share one in-memory store and communicate
// through in-memory links.
type fleet struct {
	store *standin.Store

	mu sync.Mutex
	// partition assigns each VM to a network partition. VMs of different
	// partitions can't communicate.
	partition map[model.VMID]int
	nodes     map[model.VMID]*node
	seed      int64
	// rulesOf returns the rules that a VM uses.
	rulesOf func(model.VMID) rules
	// acknowledged records the acknowledgements returned over links.
	acknowledged map[attemptID]map[model.VMID]bool
	// stopped lists the nodes that were stopped.
	stopped []*node
	slots   []Slot
	// viewLag delays the views after a change of nodes or partitions. The
	// delayed state is in viewPartition and viewAlive; views caches the view of
	// each partition.
	viewLag       time.Duration
	viewPartition map[model.VMID]int
	viewAlive     map[model.VMID]bool
	views         map[int]*membership.View
	decisions     []explain.Decision
	// traffic is the number of bytes that each VM sent or received.
	traffic map[model.VMID]int
}

// node is one process of an entry VM. A restart replaces it. It implements
// peer.Links.
type node struct {
	fleet    *fleet
	slot     Slot
	service  *Service
	handlers map[peer.Kind]peer.Handler
	// revisions lists the adopted revisions in order.
	revisions []model.Revision
	adopted   []*Snapshot
}

func newFleet(seed int64) *fleet {
	return &fleet{
		store:        standin.New(standin.Options{}),
		partition:    make(map[model.VMID]int),
		nodes:        make(map[model.VMID]*node),
		seed:         seed,
		acknowledged: make(map[attemptID]map[model.VMID]bool),
		slots:        testSlots,
		views:        make(map[int]*membership.View),
		traffic:      make(map[model.VMID]int),

		rulesOf: func(model.VMID) rules { return standardRules() },
	}
}

func (f *fleet) startAll() {
	for _, slot := range f.slots {
		f.start(slot)
	}
}

// start runs a new process in a slot.
func (f *fleet) start(slot Slot) {
	f.seed++
	n := &node{fleet: f, slot: slot, handlers: make(map[peer.Kind]peer.Handler)}
	client := f.store.Client(string(slot.VM))
	n.service = NewService(ServiceOptions{
		Self:  slot.VM,
		Zone:  slot.Zone,
		Store: client,
		Links: n,
		View:  func() *membership.View { return f.view(slot.VM) },
		Rand:  rand.New(rand.NewSource(f.seed)),

		Explain: f,
	})
	n.service.rules = f.rulesOf(slot.VM)
	n.service.Subscribe(func(s *Snapshot) {
		f.mu.Lock()
		defer f.mu.Unlock()
		n.revisions = append(n.revisions, s.Revision())
		n.adopted = append(n.adopted, s)
	})
	f.mu.Lock()
	f.nodes[slot.VM] = n
	f.updateViews()
	f.mu.Unlock()
	_ = n.service.Start(context.Background())
}

func (f *fleet) stop(vm model.VMID) {
	f.mu.Lock()
	n := f.nodes[vm]
	delete(f.nodes, vm)
	f.stopped = append(f.stopped, n)
	f.updateViews()
	f.mu.Unlock()
	_ = n.service.Stop(context.Background())
}

func (f *fleet) stopAll() {
	for _, vm := range f.running() {
		f.stop(vm)
	}
}

func (f *fleet) running() []model.VMID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var vms []model.VMID
	for vm := range f.nodes {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	return vms
}

func (f *fleet) service(vm model.VMID) *Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[vm].service
}

// setIsolated moves a VM into a partition of its own, or back to the default
// one.
func (f *fleet) setIsolated(vm model.VMID, isolated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	partition := 0
	if isolated {
		partition = 1 + slices.IndexFunc(f.slots, func(s Slot) bool { return s.VM == vm })
	}
	f.setPartition(vm, partition)
}

// setPartition moves a VM to a partition. The caller holds f.mu.
func (f *fleet) setPartition(vm model.VMID, partition int) {
	f.partition[vm] = partition
	f.updateViews()
}

// updateViews updates the views after viewLag. The caller holds f.mu.
func (f *fleet) updateViews() {
	if f.viewLag == 0 {
		f.updateViewsNow()
		return
	}
	time.AfterFunc(f.viewLag, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.updateViewsNow()
	})
}

// updateViewsNow makes the views reflect the current state. The caller holds
// f.mu.
func (f *fleet) updateViewsNow() {
	clear(f.views)
	f.viewPartition = maps.Clone(f.partition)
	f.viewAlive = make(map[model.VMID]bool)
	for vm := range f.nodes {
		f.viewAlive[vm] = true
	}
}

func (f *fleet) samePartition(a, b model.VMID) bool {
	return f.partition[a] == f.partition[b]
}

// view returns the membership view of vm.
func (f *fleet) view(vm model.VMID) *membership.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := f.views[f.viewPartition[vm]]; v != nil {
		return v
	}
	v := &membership.View{}
	f.views[f.viewPartition[vm]] = v
	for _, slot := range f.slots {
		state := membership.StateDead
		if f.viewAlive[slot.VM] && f.viewPartition[vm] == f.viewPartition[slot.VM] {
			state = membership.StateAlive
		}
		v.Members = append(v.Members, membership.Member{VM: slot.VM, Zone: slot.Zone, State: state})
	}
	return v
}

const testLatency = time.Millisecond

func (n *node) Handle(kind peer.Kind, h peer.Handler)     { n.handlers[kind] = h }
func (n *node) HandleSlow(kind peer.Kind, h peer.Handler) { n.handlers[kind] = h }
func (n *node) SetAddress(model.VMID, string)             {}
func (n *node) Drop(model.VMID)                           {}

func (n *node) Send(to model.VMID, kind peer.Kind, body any) error {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = n.Call(ctx, to, kind, body, nil)
	}()
	return nil
}

// Call blocks until ctx is done if the VMs are in different partitions when the
// request or the reply is sent.
func (n *node) Call(ctx context.Context, to model.VMID, kind peer.Kind, body, reply any) error {
	data, err := cborEnc.Marshal(body)
	if err != nil {
		return err
	}
	time.Sleep(testLatency)
	target, ok := n.target(to)
	if !ok {
		return peer.ErrNoLink
	}
	if !n.reaches(to) {
		<-ctx.Done()
		return peer.ErrLinkLost
	}
	answer, err := target.handlers[kind](ctx, n.slot.VM, data)
	time.Sleep(testLatency)
	if !n.reaches(to) || ctx.Err() != nil {
		<-ctx.Done()
		return peer.ErrLinkLost
	}
	if err != nil {
		return fmt.Errorf("%w: %v", peer.ErrRemote, err)
	}
	n.fleet.recordAcks(kind, data, answer)
	if reply == nil {
		return nil
	}
	encoded, err := cborEnc.Marshal(answer)
	if err != nil {
		return err
	}
	n.fleet.countBytes(n.slot.VM, to, len(data)+len(encoded))
	return decodeCBOR(encoded, reply)
}

func (n *node) target(to model.VMID) (*node, bool) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	t, ok := n.fleet.nodes[to]
	return t, ok
}

func (n *node) reaches(to model.VMID) bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.fleet.samePartition(n.slot.VM, to)
}

// Record implements explain.Recorder.
func (f *fleet) Record(d explain.Decision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decisions = append(f.decisions, d)
}

// isolationCount returns how often the VM recorded a decision with the reason
// isolated.
func (f *fleet) isolationCount(vm model.VMID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, d := range f.decisions {
		if d.VM == vm && d.Reason == model.ReasonIsolated {
			count++
		}
	}
	return count
}

// bootstrap commits testDocument as revision 1 through vm0.
func (f *fleet) bootstrap(t *testing.T) {
	t.Helper()
	change := ChangeBetween(&Document{}, testDocument())
	change.ID, change.Operator = "boot", "test"
	result, err := f.service("vm0").Propose(context.Background(), change)
	if err != nil || result.Revision != 1 {
		t.Fatalf("bootstrap: %+v, %v", result, err)
	}
}

// recordAcks records the acknowledgements in the reply to a proposal.
func (f *fleet) recordAcks(kind peer.Kind, body []byte, answer any) {
	reply, ok := answer.(*proposeReply)
	if kind != peer.KindConfigPropose || !ok {
		return
	}
	var req proposeRequest
	_ = decodeCBOR(body, &req)
	for _, a := range reply.Answers {
		if a.Verdict == verdictAck {
			f.recordAck(req.attemptID(), a.VM)
		}
	}
}

func (f *fleet) recordAck(id attemptID, vm model.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.acknowledged[id] == nil {
		f.acknowledged[id] = make(map[model.VMID]bool)
	}
	f.acknowledged[id][vm] = true
}

func (f *fleet) countBytes(from, to model.VMID, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.traffic[from] += count
	f.traffic[to] += count
}
