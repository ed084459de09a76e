package share

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/replica"
)

// TestBytesPerVMStayFlat guards against messages whose size or number grows with the
// number of VMs and servers.
func TestBytesPerVMStayFlat(t *testing.T) {
	var first traffic
	for _, vms := range []int{30, 100, 300} {
		s := newSim(t, vms)
		s.load(simRequestsPerVM, everyVM)
		// Until all servers have been named.
		s.advance(16 * time.Second)
		got := s.measure(2 * time.Second)
		t.Logf("%d VMs: median %.0f B/s, busiest %.0f B/s, between regions %.0f B/s together; messages %.0f/s, busiest %.0f/s",
			vms, got.medianBytes, got.mostBytes, got.regionBytes, got.medianMessages, got.mostMessages)
		if vms == 30 {
			first = got
		}
		if got.medianBytes > 1.1*first.medianBytes {
			t.Errorf("%d VMs: the median VM transfers %.0f B/s, with 30 VMs %.0f", vms, got.medianBytes, first.medianBytes)
		}
		if got.medianMessages > 1.1*first.medianMessages {
			t.Errorf("%d VMs: the median VM handles %.0f messages/s, with 30 VMs %.0f", vms, got.medianMessages, first.medianMessages)
		}
		if got.mostBytes >= 4*got.medianBytes {
			t.Errorf("%d VMs: the busiest VM transfers %.0f B/s, the median one %.0f", vms, got.mostBytes, got.medianBytes)
		}
		if got.regionBytes > 1.2*first.regionBytes {
			t.Errorf("%d VMs: %.0f B/s between regions, with 30 VMs %.0f", vms, got.regionBytes, first.regionBytes)
		}
	}
}

// TestKnownQueues guards against queues that VMs do not know of. The error of ordinary
// fluctuation is logged; a queue that is long must be known in time at any size.
func TestKnownQueues(t *testing.T) {
	for _, vms := range []int{7, 27, 117, 300} {
		s := newSim(t, vms)
		s.load(simRequestsPerVM, everyVM)
		s.advance(6 * time.Second)
		near, far := s.queueError(time.Second)
		t.Logf("%d VMs: error %.2f requests at servers of the region, %.2f at others", vms, near, far)
		// VMs of all regions send one more request each to the same server, at most 24.
		const server = 3
		for _, v := range s.vms[:min(vms, 24)] {
			v.outstanding[server]++
		}
		s.advance(500 * time.Millisecond)
		for _, v := range s.vms {
			truth := s.truth(v)[server]
			if known := v.remote[server]; known < truth/2-2 || known > 2*truth+2 {
				t.Fatalf("%d VMs: %s knows of %d requests after 0.5 s, %d are outstanding", vms, v.record.Name, known, truth)
			}
		}
	}
}

// fixedSim returns a simulation in which each VM has as many requests as its number at
// the server of that number modulo ten.
func fixedSim(t *testing.T, vms int) *sim {
	s := newSim(t, vms)
	for i, v := range s.vms {
		v.outstanding[uint64(i%10)] = i + 1
	}
	return s
}

// checkKnown tests that the VMs selected know exactly the requests of all others that
// are selected.
func (s *sim) checkKnown(what string, selected func(v *simVM) bool) {
	s.t.Helper()
	for _, v := range s.vms {
		if v.dead || !selected(v) {
			continue
		}
		for server := range uint64(10) {
			want := 0
			for _, other := range s.vms {
				if other != v && !other.dead && selected(other) {
					want += other.outstanding[server]
				}
			}
			if got := v.remote[server]; got != want {
				s.t.Errorf("%s: %s knows of %d requests at server %d, want %d", what, v.record.Name, got, server, want)
				return
			}
		}
	}
}

func (s *sim) root(region model.Region) *simVM { return s.ranked(region, 0) }

// ranked returns the VM at a place in the tree of a region.
func (s *sim) ranked(region model.Region, place int) *simVM {
	tree := newTree(s.vms[0].record)
	tree.set(s.alive)
	return s.byName[tree.regions[region][place].Name]
}

// withoutChildren reports whether a VM has no place in the tree where it must relay.
func (s *sim) withoutChildren(v *simVM) bool {
	tree := newTree(v.record)
	tree.set(s.alive)
	ranked := tree.regions[v.record.Region]
	return treeDegree*slices.Index(ranked, v.record)+1 >= len(ranked)
}

// TestSumsAreExactOnceTheyStandStill guards against requests that are counted twice or not
// at all, in small and large fleets, and with a VM that has no traffic among them.
func TestSumsAreExactOnceTheyStandStill(t *testing.T) {
	for _, vms := range []int{2, 7, 40, 117} {
		s := fixedSim(t, vms)
		s.advance(2 * time.Second)
		s.checkKnown(fmt.Sprint(vms, " VMs"), everyVM)
	}
}

// TestCollectorFails guards against VMs that lose sight of each other for more than 0.5 s
// when the root of a region is killed or pauses, before anyone knows that it has failed.
func TestCollectorFails(t *testing.T) {
	for _, kill := range []bool{true, false} {
		s := fixedSim(t, 27)
		s.advance(2 * time.Second)
		root := s.root("r0")
		if root.dead = kill; !kill {
			root.pausedUntil = s.now.Add(1500 * time.Millisecond)
		}
		s.advance(200 * time.Millisecond)
		for _, v := range s.vms {
			v.outstanding[4] += 7
		}
		// The takeover within the region, and the next message of the new root.
		s.advance(800 * time.Millisecond)
		others := func(v *simVM) bool { return v != root }
		s.checkKnown(fmt.Sprint("killed ", kill), others)
		s.advance(time.Second)
		s.updateAlive()
		s.advance(time.Second)
		s.checkKnown(fmt.Sprint("later, killed ", kill), everyVM)
		if kill {
			root.start()
			root.outstanding[2] = 5
			s.updateAlive()
			s.advance(time.Second)
			s.checkKnown("restarted", everyVM)
		}
	}
}

// TestTakeoverWithinHalfASecond guards against VMs of a region that no longer hear of each
// other half a second after the root or a VM below it fell silent.
func TestTakeoverWithinHalfASecond(t *testing.T) {
	for _, vms := range []int{9, 90} {
		for i := range 6 {
			s := fixedSim(t, vms)
			s.advance(2*time.Second + time.Duration(i)*23*time.Millisecond)
			failed := s.ranked("r0", i%2)
			failed.dead = true
			s.advance(100 * time.Millisecond)
			for _, v := range s.vms {
				v.outstanding[4] += 7
			}
			s.advance(400 * time.Millisecond)
			known, want := 0, 0
			for _, v := range s.vms {
				if v != failed && v.record.Region == "r0" {
					want++
					for _, other := range s.vms {
						if other.record.Region == "r0" && other != v && other != failed && v.remote[4] >= 14 {
							known++
							break
						}
					}
				}
			}
			if known < want {
				t.Errorf("%d VMs: %d of %d VMs hear of each other 0.5 s after %s failed", vms, known, want, failed.record.Name)
			}
		}
	}
}

// TestPartitions guards against VMs that lose sight of those that they still reach, and
// against sums that stay wrong after a partition.
func TestPartitions(t *testing.T) {
	tests := map[string]func(v *simVM) bool{
		"a region is cut off": func(v *simVM) bool { return v.record.Region == "r0" },
		// Zones are not known to the exchange; any part of a region will do.
		"a part of a region is cut off": func(v *simVM) bool { return v.record.Region == "r0" && v.record.Name < "vm-014" },
	}
	for what, inside := range tests {
		s := fixedSim(t, 27)
		s.advance(2 * time.Second)
		s.cut = func(a, b *simVM) bool { return inside(a) != inside(b) }
		s.advance(2400 * time.Millisecond)
		s.checkKnown(what, inside)
		s.checkKnown(what, func(v *simVM) bool { return !inside(v) })
		s.cut = func(a, b *simVM) bool { return false }
		s.advance(1500 * time.Millisecond)
		s.checkKnown(what+", healed", everyVM)
	}
}

// TestLostMessagesHeal guards against sums that stay wrong after a lost message, and
// against counters that miss or repeat what a lost message said.
func TestLostMessagesHeal(t *testing.T) {
	s := fixedSim(t, 27)
	s.advance(time.Second)
	s.loss = 0.1
	for range 40 {
		for i, v := range s.vms {
			v.outstanding[uint64(i%10)] = 1 + s.random.IntN(9)
			v.uses[5]++
		}
		s.advance(100 * time.Millisecond)
	}
	s.loss = 0
	s.advance(2 * time.Second)
	s.checkKnown("after losses", everyVM)
}

// TestCountersSurviveLossesAndCollectors guards against cumulative counts that are lost or
// counted again when messages are lost or the collector fails: a sum that is too low lets
// VMs exceed a limit together.
func TestCountersSurviveLossesAndCollectors(t *testing.T) {
	const rounds, vms = 60, 27
	tests := map[string]func(s *sim, round int){
		"calm":   func(*sim, int) {},
		"losses": func(s *sim, _ int) { s.loss = 0.03 },
		"root paused": func(s *sim, round int) {
			if round == 20 {
				s.root("r0").pausedUntil = s.now.Add(time.Second)
			}
		},
		"root killed": func(s *sim, round int) {
			if round == 20 {
				s.root("r0").dead = true
			}
		},
	}
	for what, disturb := range tests {
		s := newSim(t, vms)
		for _, v := range s.vms {
			v.outstanding[1] = 1
			v.limits = LimitReports{8: {}}
		}
		s.advance(2 * time.Second)
		for round := range rounds {
			disturb(s, round)
			for _, v := range s.vms {
				if !v.dead {
					v.uses[5]++
					report := v.limits[8]
					report.Sent++
					v.limits[8] = report
				}
			}
			s.advance(100 * time.Millisecond)
		}
		s.loss = 0
		s.advance(2 * time.Second)
		for _, v := range s.vms {
			// At most 0.5 s may be lost where the collector fails or messages are lost, and as
			// much may be counted twice.
			want, tolerance := (vms-1)*rounds, 0
			if what != "calm" {
				tolerance = (vms - 1) * 5
			}
			if what == "root killed" {
				want -= rounds - 20
			}
			for _, got := range []uint64{v.useTotal[5], v.remoteSent[8]} {
				if !v.dead && v.pausedUntil.IsZero() && (int(got) < want-tolerance || int(got) > want+tolerance) {
					t.Errorf("%s: %s knows of %d uses, want %d ± %d", what, v.record.Name, got, want, tolerance)
				}
			}
		}
	}
}

// TestRestartedVMBeginsAtTheBaseline guards against counts since long ago that are taken
// for new ones by a process that has just begun.
func TestRestartedVMBeginsAtTheBaseline(t *testing.T) {
	s := newSim(t, 9)
	for _, v := range s.vms {
		v.outstanding[1] = 1
		v.uses[5] = 1000
	}
	s.advance(2 * time.Second)
	for _, v := range s.vms[:6] {
		v.start()
		v.outstanding[1] = 1
		s.advance(2 * time.Second)
		if got := v.useTotal[5]; got != 0 {
			t.Errorf("%s counts %d uses from before its start", v.record.Name, got)
		}
	}
}

// TestReportsReachAllVMs guards against limits, servers that leave and positions of
// replicas that only some VMs learn of, also VMs without traffic, and against VMs that get
// loads although they have neither traffic nor anything to relay.
func TestReportsReachAllVMs(t *testing.T) {
	for _, busy := range []int{1, 10, 27} {
		s := newSim(t, 27)
		for _, v := range s.vms[:busy] {
			v.outstanding[1] = 1
		}
		for _, v := range s.vms[1:] {
			v.position = replica.Position{Era: 1, Revision: 500}
		}
		s.advance(3 * time.Second)
		origin := s.vms[0]
		origin.limits = LimitReports{7: {Stated: true, Limited: true, PerSecond: 6.5, Age: 30 * time.Millisecond}}
		origin.leaving = LeavingReports{9: 1700000000000}
		origin.outstanding[2] = 3
		s.advance(500 * time.Millisecond)
		for i, v := range s.vms {
			if got := v.statements[7]; i > 0 && v.record.Region == origin.record.Region && (!got.Limited || got.PerSecond != 6.5 || got.Age < 30*time.Millisecond || got.Age > time.Second) {
				t.Errorf("%d busy VMs: %s was told the limit %+v", busy, v.record.Name, got)
			}
			if i >= busy && len(v.remote) > 0 && s.withoutChildren(v) {
				t.Errorf("%d busy VMs: %s got loads without having traffic", busy, v.record.Name)
			}
		}
		s.advance(1500 * time.Millisecond)
		for i, v := range s.vms {
			if i > 0 && (v.statements[7].PerSecond != 6.5 || v.remoteLeaving[9] != 1700000000000) {
				t.Errorf("%d busy VMs: %s was told the limit %+v and of %v leaving", busy, v.record.Name, v.statements[7], v.remoteLeaving)
			}
		}
		origin.limits, origin.leaving = nil, nil
		s.advance(3 * time.Second)
		clear(s.vms[1].remoteLeaving)
		s.advance(8 * time.Second)
		if len(s.vms[1].remoteLeaving) > 0 {
			t.Errorf("%d busy VMs: the report of a leaving server travels on without its origin", busy)
		}
	}
}

// TestStaleReplicaIsNoticed guards against VMs with traffic whose replica stays behind that
// of the others unnoticed for longer than 0.3 s, also if the whole region is behind.
func TestStaleReplicaIsNoticed(t *testing.T) {
	tests := map[string]func(v *simVM) bool{
		"one VM":   func(v *simVM) bool { return v.record.Name == "vm-004" },
		"a region": func(v *simVM) bool { return v.record.Region == "r1" },
	}
	for what, stale := range tests {
		s := fixedSim(t, 27)
		for _, v := range s.vms {
			v.position = replica.Position{Era: 1, Revision: 500}
		}
		s.advance(2 * time.Second)
		changed := s.now
		for _, v := range s.vms {
			if !stale(v) {
				v.position.Revision = 510
			}
		}
		s.advance(time.Second)
		most := 300 * time.Millisecond
		if what == "a region" {
			// The roots exchange messages every 0.2 s.
			most = 500 * time.Millisecond
		}
		for _, v := range s.vms {
			if stale(v) && (!v.ahead || v.aheadSince.Sub(changed) > most) {
				t.Errorf("%s: %s noticed %v after %v", what, v.record.Name, v.ahead, v.aheadSince.Sub(changed))
			}
		}
	}
}

// TestNewVMKnowsTheLoads guards against a VM that takes its first requests without knowing
// the loads of the servers.
func TestNewVMKnowsTheLoads(t *testing.T) {
	for _, vms := range []int{7, 117} {
		s := fixedSim(t, vms)
		s.vms[5].dead = true
		s.updateAlive()
		s.advance(2 * time.Second)
		s.vms[5].start()
		s.vms[5].outstanding[3] = 2
		s.updateAlive()
		s.advance(500 * time.Millisecond)
		s.checkKnown(fmt.Sprint("new VM among ", vms), everyVM)
	}
}

// TestIdleFleetIsNearlySilent guards against VMs without traffic that cost bytes and
// wake-ups.
func TestIdleFleetIsNearlySilent(t *testing.T) {
	s := newSim(t, 30)
	s.advance(3 * time.Second)
	if got := s.measure(5 * time.Second); got.mostMessages > 8 || got.medianMessages > 4 || got.regionBytes > 0 {
		t.Errorf("idle VMs handle %.1f messages/s, the busiest %.1f, and send %.0f B/s to other regions", got.medianMessages, got.mostMessages, got.regionBytes)
	}
}

// TestDecodeRejectsMalformedMessages guards against a message that ends the process or
// makes it allocate without bound.
func TestDecodeRejectsMalformedMessages(t *testing.T) {
	m := message{
		flags: toChild | flagReset | flagPosition | flagSource | flagLoads | flagCounters | flagReports | flagSpeeds, stream: 900, sequence: 3, era: 1, revisionChange: -4,
		source: "vm-1", newServers: []uint64{7, 9}, loads: []numbered{{0, 3}, {40, 99}}, newKeys: []CounterKey{{1, 2}},
		counters: []numbered{{0, 12}}, statements: []statementRecord{{7, true, 2.5, time.Second}}, leaving: []leavingRecord{{9, 17}},
		speeds: []RemoteSpeed{{9, 300, SpeedReport{-40, 250 * time.Millisecond}}},
	}
	data := m.encode()
	if got, err := decode(data); err != nil || fmt.Sprint(got) != fmt.Sprint(m) {
		t.Errorf("got %v, %v, want %v", got, err, m)
	}
	for length := range data {
		if _, err := decode(data[:length]); err == nil {
			t.Errorf("the first %d of %d bytes were accepted", length, len(data))
		}
	}
	for i := range data {
		changed := append([]byte{}, data...)
		changed[i] = 0xff
		// Must return.
		_, _ = decode(changed)
	}
}

// TestNewsArriveInTime guards against levels of the tree that each add a wait. Requests and
// uses of a counter must be known within about 0.2 s in the region and 0.5 s elsewhere.
func TestNewsArriveInTime(t *testing.T) {
	for _, vms := range []int{7, 27, 117, 300} {
		s := newSim(t, vms)
		for i, v := range s.vms {
			v.outstanding[uint64(100+i)] = 1
		}
		s.advance(3 * time.Second)
		var near, far time.Duration
		for round := range 5 {
			origin := s.vms[(round*7)%vms]
			server := uint64(round)
			origin.outstanding[server] = 12
			origin.uses[server] = 5
			began := s.now
			s.advance(time.Duration(round) * 13 * time.Millisecond)
			for open := true; open && s.now.Sub(began) < 2*time.Second; s.advance(10 * time.Millisecond) {
				open = false
				for _, v := range s.vms {
					if v == origin || v.remote[server] == 12 && v.useTotal[server] == 5 {
						continue
					}
					if open = true; v.record.Region == origin.record.Region {
						near = max(near, s.now.Sub(began))
					} else {
						far = max(far, s.now.Sub(began))
					}
				}
			}
		}
		t.Logf("%d VMs: news take at most %v in the region, %v elsewhere", vms, near, far)
		if near > 250*time.Millisecond || far > 500*time.Millisecond {
			t.Errorf("%d VMs: news take %v in the region and %v elsewhere, want at most 250 ms and 500 ms", vms, near, far)
		}
	}
}
