package membership

import (
	"testing"
	"time"

	"fuchsiaspar/internal/model"
)

// detectionLimit is the time within which every VM must detect a dead or
// returned VM in a deployment of seven VMs in six zones.
const detectionLimit = 2 * time.Second

func newDeployment(t *testing.T, seed int64) *sim {
	t.Helper()
	s := newSim(seed, simSlots(7, 6, 3))
	s.bootAll()
	s.waitForAgreement(t, 5*time.Second)
	s.run(10 * time.Second)
	return s
}

func TestDeadVMIsNoticedByAllZones(t *testing.T) {
	for seed := range int64(20) {
		s := newDeployment(t, seed)
		victim := s.procs[s.slots[seed%7].VM]
		victim.running = false
		took := s.waitForAgreement(t, detectionLimit)
		s.run(3 * time.Second)
		s.boot(victim.self)
		back := s.waitForAgreement(t, detectionLimit)
		t.Logf("seed %d: death detected after %s, return after %s", seed, took, back)
	}
}

func TestPartitionedZoneKeepsItselfAndHeals(t *testing.T) {
	for seed := range int64(12) {
		s := newDeployment(t, seed)
		isolated := model.Zone("zone-00")
		s.partitioned = func(a, b model.Zone) bool { return a != b && (a == isolated || b == isolated) }
		took := s.waitForAgreement(t, detectionLimit)
		s.run(30 * time.Second)
		s.partitioned = func(a, b model.Zone) bool { return false }
		healed := s.waitForAgreement(t, detectionLimit)
		t.Logf("seed %d: partition detected after %s, healing after %s", seed, took, healed)
	}
}
