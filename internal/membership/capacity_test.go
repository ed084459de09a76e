package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"fuchsiaspar/internal/model"
)

const (
	capacityZones     = 23
	capacityRegions   = 8
	measurementPeriod = 20 * time.Second
)

// BenchmarkFleet reports the cost of membership for one VM by fleet size, in
// virtual time. The load of every VM changes each second, and all adopt one
// configuration revision.
func BenchmarkFleet(b *testing.B) {
	for _, count := range []int{50, 200, 700, 1400} {
		b.Run(fmt.Sprintf("vms=%d/zones=%d", count, capacityZones), func(b *testing.B) {
			for range b.N {
				measureFleet(b, count, capacityZones)
			}
		})
	}
	for _, zones := range []int{6, 12, 46} {
		b.Run(fmt.Sprintf("vms=700/zones=%d", zones), func(b *testing.B) {
			for range b.N {
				measureFleet(b, 700, zones)
			}
		})
	}
}

func measureFleet(b *testing.B, count, zones int) {
	before := heapBytes()
	s := newSim(1, simSlots(count, zones, capacityRegions))
	s.bootAll()
	booted := s.waitForAgreement(b, time.Minute)
	s.changeLoads(0)
	s.run(15 * time.Second)
	b.ReportMetric(booted.Seconds(), "boot-s")
	b.ReportMetric(float64(heapBytes()-before)/float64(count), "heap-B/vm")

	s.measure = true
	calls, writes := s.store.calls, s.store.writes
	started := time.Now()
	s.changeLoads(1)
	s.run(measurementPeriod)
	wall := time.Since(started)
	s.measure = false
	s.reportTraffic(b)
	seconds := measurementPeriod.Seconds()
	b.ReportMetric(float64(s.store.calls-calls)/seconds/float64(zones), "storecalls/zone/s")
	b.ReportMetric(float64(s.store.writes-writes), "storewrites")
	b.ReportMetric(100*wall.Seconds()/seconds/float64(count), "sim-cpu-%/vm")

	b.ReportMetric(s.timeRevision(b, 2).Seconds(), "revision-s")
	b.ReportMetric(s.timeDeath(b).Seconds(), "death-s")
}

// changeLoads sets random load on every VM each second, with the given
// revision.
func (s *sim) changeLoads(revision model.Revision) {
	for second := range int(measurementPeriod / time.Second) {
		s.at(s.now.Add(time.Duration(second)*time.Second), func() {
			for _, slot := range s.slots {
				s.deliver(s.procs[slot.VM], LocalUpdated{Revision: revision, Load: s.randomLoad()})
			}
		})
	}
}

func (s *sim) randomLoad() []ServiceLoad {
	var load []ServiceLoad
	for _, service := range []model.ServiceName{"lease-desk", "plan-vault"} {
		load = append(load, ServiceLoad{Service: service, Slots: 60, Busy: s.rng.Intn(60), Queued: s.rng.Intn(40)})
	}
	return load
}

// reportTraffic reports bytes per second for the mean VM, the busiest member
// and the busiest leader.
func (s *sim) reportTraffic(b *testing.B) {
	var total, messages, member, leader uint64
	for _, slot := range s.slots {
		p := s.procs[slot.VM]
		total += p.sent
		messages += p.messages
		if p.node.isLeader() {
			leader = max(leader, p.sent+p.received)
		} else {
			member = max(member, p.sent+p.received)
		}
	}
	seconds := measurementPeriod.Seconds()
	vms := float64(len(s.slots))
	b.ReportMetric(float64(total)/seconds/vms, "sent-B/s")
	b.ReportMetric(float64(messages)/seconds/vms, "sent-msg/s")
	b.ReportMetric(float64(member)/seconds, "member-max-inout-B/s")
	b.ReportMetric(float64(leader)/seconds, "leader-max-inout-B/s")
}

// timeRevision makes all VMs adopt a revision at once and waits until every
// view shows it for all members.
func (s *sim) timeRevision(b *testing.B, revision model.Revision) time.Duration {
	from := s.now
	for _, slot := range s.slots {
		s.deliver(s.procs[slot.VM], LocalUpdated{Revision: revision})
	}
	for s.now.Sub(from) < time.Minute {
		s.run(100 * time.Millisecond)
		if s.allAt(revision) {
			return s.now.Sub(from)
		}
	}
	b.Fatal("the revision did not reach all views within a minute")
	return 0
}

func (s *sim) allAt(revision model.Revision) bool {
	for _, slot := range s.slots {
		for _, m := range s.procs[slot.VM].view.Members {
			if m.Revision != revision {
				return false
			}
		}
	}
	return true
}

// timeDeath stops the last VM and waits until all others have detected it.
func (s *sim) timeDeath(b *testing.B) time.Duration {
	s.run(5 * time.Second)
	s.procs[s.slots[len(s.slots)-1].VM].running = false
	return s.waitForAgreement(b, time.Minute)
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
