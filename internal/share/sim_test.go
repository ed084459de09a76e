package share

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/replica"
)

const (
	// simRegions, simServersPerVM and simRequestsPerVM (per second) are between those of
	// the two deployments that the page of requirements describes.
	simRegions       = 3
	simServersPerVM  = 4
	simRequestsPerVM = 30
	// simLocalShare is the share of requests to servers of the VM's own region.
	simLocalShare = 0.7
	// simLocalDelay and simRegionDelay are the one-way delays between VMs.
	simLocalDelay  = time.Millisecond
	simRegionDelay = 12 * time.Millisecond
	// envelopeBytes is the size of an encoded message beside its body.
	envelopeBytes = 7
)

var simStart = time.Unix(1_800_000_000, 0)

// simVM is an entry VM of a simulation. It stands in for the VM's fleet and feed.
type simVM struct {
	sim      *sim
	record   catalog.VM
	exchange *exchange
	// run is the number of the process, so that events of an earlier one are ignored.
	run           int
	dead          bool
	pausedUntil   time.Time
	outstanding   Counts
	remote        Counts
	limits        LimitReports
	leaving       LeavingReports
	statements    map[uint64]LimitReport
	remoteSent    map[uint64]uint64
	remoteLeaving LeavingReports
	speeds        SpeedReports
	// remoteSpeeds holds the time of the evidence in the reports received.
	remoteSpeeds   map[speedKey]time.Time
	uses, useTotal map[uint64]uint64
	position       replica.Position
	aheadSince     time.Time
	ahead          bool
	bytes, regions int
	sent, received int
}

func (v *simVM) Outstanding() Counts {
	counts := Counts{}
	for server, count := range v.outstanding {
		if count > 0 {
			counts[server] = count
		}
	}
	return counts
}

func (v *simVM) AddRemoteCounts(changes Counts) {
	for server, change := range changes {
		v.remote[server] += change
	}
}
func (v *simVM) LimitReports(time.Time) LimitReports { return v.limits }
func (v *simVM) SetRemoteLimits(vm model.VMID, reports LimitReports, _ time.Time) {
	for server, report := range reports {
		if report.Stated {
			v.statements[server] = report
		}
		if vm == others {
			v.remoteSent[server] = report.Sent
		}
	}
}
func (v *simVM) Leaving(time.Time) LeavingReports { return v.leaving }
func (v *simVM) SetRemoteLeaving(reports LeavingReports, _ time.Time) {
	for server, started := range reports {
		v.remoteLeaving[server] = started
	}
}
func (v *simVM) SpeedReports(time.Time) SpeedReports { return v.speeds }
func (v *simVM) SetRemoteSpeeds(reports []RemoteSpeed, now time.Time) {
	for _, r := range reports {
		v.remoteSpeeds[speedKey{r.Server, r.Origin}] = now.Add(-r.Age)
	}
}
func (v *simVM) Uses(time.Time) map[uint64]uint64 { return v.uses }
func (v *simVM) SetRemoteUses(_ string, uses map[uint64]uint64, _ time.Time) {
	v.useTotal = uses
}
func (v *simVM) Position() replica.Position { return v.position }
func (v *simVM) ObservePosition(vm catalog.VM, position replica.Position, now time.Time) {
	if position.After(v.position) && vm.Name != v.record.Name && !v.ahead {
		v.ahead, v.aheadSince = true, now
	}
}

type simEvent struct {
	at    time.Time
	order int
	do    func()
}

type simEvents []simEvent

func (q simEvents) Len() int { return len(q) }
func (q simEvents) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q simEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simEvents) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// sim runs the exchanges of many VMs in virtual time. Every VM believes that all VMs are
// alive that are in alive.
type sim struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	events  simEvents
	order   int
	vms     []*simVM
	byName  map[model.VMID]*simVM
	alive   []catalog.VM
	servers int
	loss    float64
	// cut reports whether messages between two VMs are lost.
	cut func(a, b *simVM) bool
}

func newSim(t *testing.T, vms int) *sim {
	s := &sim{
		t: t, random: rand.New(rand.NewPCG(20601, uint64(vms))), now: simStart, servers: vms * simServersPerVM,
		byName: map[model.VMID]*simVM{}, cut: func(a, b *simVM) bool { return false },
	}
	for i := range vms {
		s.vms = append(s.vms, &simVM{sim: s, record: catalog.VM{
			Name: model.VMID(fmt.Sprintf("vm-%03d", i)), Region: model.Region(fmt.Sprint("r", i%simRegions)), Peer: "x", CPUShare: 1, LinkMbps: 10,
		}})
	}
	s.updateAlive()
	for _, v := range s.vms {
		s.byName[v.record.Name] = v
		v.start()
	}
	return s
}

// updateAlive makes all VMs that have not failed known as alive.
func (s *sim) updateAlive() {
	s.alive = nil
	for _, v := range s.vms {
		if !v.dead {
			s.alive = append(s.alive, v.record)
		}
	}
}

func (s *sim) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.order, do})
}

func (s *sim) advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.do()
	}
	s.now = end
}

// start begins a process of the VM.
func (v *simVM) start() {
	v.run++
	v.dead = false
	v.outstanding, v.remote, v.limits, v.leaving = Counts{}, Counts{}, LimitReports{}, LeavingReports{}
	v.statements, v.remoteSent, v.remoteLeaving = map[uint64]LimitReport{}, map[uint64]uint64{}, LeavingReports{}
	v.speeds, v.remoteSpeeds = nil, map[speedKey]time.Time{}
	v.uses, v.useTotal = map[uint64]uint64{}, map[uint64]uint64{}
	v.exchange = newExchange(v.record, v, v, []Counter{v}, v.sim.random)
	v.schedule(time.Duration(v.sim.random.Int64N(int64(100 * time.Millisecond))))
}

// schedule runs the exchange after d, unless the VM has failed by then. A paused VM runs
// when it resumes.
func (v *simVM) schedule(d time.Duration) {
	run := v.run
	var do func()
	do = func() {
		if v.dead || v.run != run {
			return
		}
		if wait := v.pausedUntil.Sub(v.sim.now); wait > 0 {
			v.sim.after(wait, do)
			return
		}
		if v.exchange.nextRun.After(v.sim.now) {
			return
		}
		v.step()
	}
	v.sim.after(d, do)
}

func (v *simVM) step() {
	messages, next := v.exchange.run(v.sim.now, v.sim.alive)
	for _, m := range messages {
		v.send(m)
	}
	v.schedule(next.Sub(v.sim.now))
}

func (v *simVM) send(m outgoing) {
	to := v.sim.byName[m.to.Name]
	delay := simLocalDelay
	size := peer.FrameBytes(len(m.body)+envelopeBytes, v.record.Name < to.record.Name)
	v.sent, v.bytes = v.sent+1, v.bytes+size
	if to.record.Region != v.record.Region {
		delay = simRegionDelay
		v.regions += size
	}
	if v.sim.cut(v, to) || v.sim.random.Float64() < v.sim.loss {
		return
	}
	run := to.run
	var deliver func()
	deliver = func() {
		if to.dead || to.run != run {
			return
		}
		if wait := to.pausedUntil.Sub(v.sim.now); wait > 0 {
			v.sim.after(wait, deliver)
			return
		}
		to.received, to.bytes = to.received+1, to.bytes+size
		if err := to.exchange.receive(v.record.Name, m.body, v.sim.now); err != nil {
			v.sim.t.Error(err)
		}
		to.step()
	}
	v.sim.after(delay, deliver)
}

// load lets the VMs selected send perSecond requests each, which take some 120 ms.
func (s *sim) load(perSecond float64, selected func(v *simVM) bool) {
	for _, v := range s.vms {
		if selected(v) {
			v.request(perSecond)
		}
	}
}

func (v *simVM) request(perSecond float64) {
	run := v.run
	gap := time.Duration(v.sim.random.ExpFloat64() / perSecond * float64(time.Second))
	v.sim.after(gap, func() {
		if v.dead || v.run != run {
			return
		}
		server := v.drawServer()
		v.outstanding[server]++
		v.sim.after(100*time.Millisecond+time.Duration(v.sim.random.ExpFloat64()*300*float64(time.Millisecond)), func() { v.outstanding[server]-- })
		v.request(perSecond)
	})
}

// drawServer returns a server, whose region is its number modulo that of regions.
func (v *simVM) drawServer() uint64 {
	region := int(v.record.Region[1] - '0')
	if v.sim.random.Float64() >= simLocalShare {
		region = v.sim.random.IntN(simRegions)
	}
	return uint64(v.sim.random.IntN(v.sim.servers/simRegions)*simRegions + region)
}

func everyVM(*simVM) bool { return true }

// truth returns the outstanding requests of all live VMs but v at each server.
func (s *sim) truth(v *simVM) Counts {
	sum := Counts{}
	for _, other := range s.vms {
		if other != v && !other.dead {
			for server, count := range other.outstanding {
				sum[server] += count
			}
		}
	}
	return sum
}

// queueError returns the root mean square of the difference between the queue that VMs
// know of and the true one, over the servers of their own region and the others, during d.
func (s *sim) queueError(d time.Duration) (near, far float64) {
	var sums, counts [2]float64
	for end := s.now.Add(d); s.now.Before(end); {
		s.advance(97 * time.Millisecond)
		for range 8 {
			v := s.vms[s.random.IntN(len(s.vms))]
			truth := s.truth(v)
			for server := range s.servers {
				scope := 0
				if fmt.Sprint("r", server%simRegions) != string(v.record.Region) {
					scope = 1
				}
				difference := float64(truth[uint64(server)] - v.remote[uint64(server)])
				sums[scope] += difference * difference
				counts[scope]++
			}
		}
	}
	return math.Sqrt(sums[0] / counts[0]), math.Sqrt(sums[1] / counts[1])
}

// traffic is what VMs send and receive per second.
type traffic struct {
	medianBytes, mostBytes, regionBytes float64
	medianMessages, mostMessages        float64
}

// measure returns the traffic during d.
func (s *sim) measure(d time.Duration) traffic {
	for _, v := range s.vms {
		v.bytes, v.regions, v.sent, v.received = 0, 0, 0, 0
	}
	s.advance(d)
	var bytes, messages []float64
	var result traffic
	for _, v := range s.vms {
		bytes = append(bytes, float64(v.bytes)/d.Seconds())
		messages = append(messages, float64(v.sent+v.received)/d.Seconds())
		result.regionBytes += float64(v.regions) / d.Seconds()
	}
	slices.Sort(bytes)
	slices.Sort(messages)
	result.medianBytes, result.mostBytes = bytes[len(bytes)/2], bytes[len(bytes)-1]
	result.medianMessages, result.mostMessages = messages[len(messages)/2], messages[len(messages)-1]
	return result
}
