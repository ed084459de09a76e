package membership

import (
	"testing"
	"time"

	"fuchsiaspar/internal/model"
)

// noticeLimit is the time within which every VM must notice a dead or returned
// one in a deployment of today's size.
const noticeLimit = 2 * time.Second

func today(t *testing.T, seed int64) *sim {
	t.Helper()
	s := newSim(seed, simSlots(7, 6, 3))
	s.bootAll()
	s.waitAgreed(t, 5*time.Second)
	s.run(10 * time.Second)
	return s
}

func TestDeadVMIsNoticedByAllZones(t *testing.T) {
	for seed := range int64(20) {
		s := today(t, seed)
		victim := s.procs[s.slots[seed%7].VM]
		victim.running = false
		took := s.waitAgreed(t, noticeLimit)
		s.run(3 * time.Second)
		s.boot(victim.self)
		back := s.waitAgreed(t, noticeLimit)
		t.Logf("seed %d: dead after %s, back after %s", seed, took, back)
	}
}

func TestPartitionedZoneKeepsItselfAndHeals(t *testing.T) {
	for seed := range int64(12) {
		s := today(t, seed)
		lone := model.Zone("zone-00")
		s.cut = func(a, b model.Zone) bool { return a != b && (a == lone || b == lone) }
		took := s.waitAgreed(t, noticeLimit)
		s.run(30 * time.Second)
		s.cut = func(a, b model.Zone) bool { return false }
		healed := s.waitAgreed(t, noticeLimit)
		t.Logf("seed %d: cut after %s, healed after %s", seed, took, healed)
	}
}
