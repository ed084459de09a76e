package membership

import (
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/platform"
)

const (
	// maxContactsPerAttempt is the number of unknown VMs contacted per attempt
	// before the first response.
	maxContactsPerAttempt = 3
	// maxZonesPerAttempt is the number of unreachable zones retried per
	// attempt.
	maxZonesPerAttempt = 2
)

// addressBook holds the addresses of the VMs that this VM may contact.
type addressBook struct {
	addresses   map[model.VMID]string
	order       []model.VMID
	next        int
	nextZone    int
	nextAttempt time.Time
	// introducedAt is the time of the last introduction to each VM. It
	// rate-limits introductions.
	introducedAt map[model.VMID]time.Time
}

func newAddressBook(seeds []Seed) addressBook {
	b := addressBook{
		addresses:    map[model.VMID]string{},
		introducedAt: map[model.VMID]time.Time{},
	}
	for _, s := range seeds {
		b.add(s.VM, s.Address)
	}
	return b
}

func (b *addressBook) add(vm model.VMID, address string) {
	if vm == "" || address == "" {
		return
	}
	if _, ok := b.addresses[vm]; !ok {
		b.order = append(b.order, vm)
	}
	b.addresses[vm] = address
}

// tickContacts tries to reach VMs that are unknown, dead or partitioned.
func (n *Node) tickContacts() {
	if n.now.Before(n.contacts.nextAttempt) {
		return
	}
	n.contacts.nextAttempt = n.now.Add(n.intervals.Contact)
	n.contactUnknown()
	n.contactDead()
	n.contactUnreachable()
}

// contactUnknown introduces this VM to known addresses whose VMs have no
// record in the table. After joining, only the zone leader does so.
func (n *Node) contactUnknown() {
	limit := maxContactsPerAttempt
	if n.joined {
		limit = 1
	}
	if n.joined && !n.isLeader() {
		return
	}
	book := &n.contacts
	for range book.order {
		if limit == 0 {
			return
		}
		book.next = (book.next + 1) % len(book.order)
		vm := book.order[book.next]
		if _, known := n.table.get(vm); known || vm == n.self.VM {
			continue
		}
		n.emit(SetAddress{VM: vm, Address: book.addresses[vm]})
		n.introduce(vm)
		limit--
	}
}

// contactDead sends a heartbeat to one random dead member of the zone, which
// may have been partitioned rather than stopped.
func (n *Node) contactDead() {
	var dead []model.VMID
	for _, vm := range n.table.zone(n.self.Zone).all {
		if r, _ := n.table.get(vm); r.State == StateDead {
			dead = append(dead, vm)
		}
	}
	if len(dead) > 0 {
		n.sendHeartbeat(dead[n.rng.Intn(len(dead))], Heartbeat{Reply: true})
	}
}

// contactUnreachable sends heartbeats to the leader and to one random member
// of some of the unreachable zones, in rotation.
func (n *Node) contactUnreachable() {
	if !n.isLeader() {
		return
	}
	zones := sortedKeys(n.zones.unreachable)
	for range min(maxZonesPerAttempt, len(zones)) {
		n.contacts.nextZone++
		zone := zones[n.contacts.nextZone%len(zones)]
		present := n.table.present(zone)
		if len(present) == 0 {
			continue
		}
		n.sendHeartbeat(n.table.leader(zone), Heartbeat{Reply: true})
		n.sendHeartbeat(present[n.rng.Intn(len(present))], Heartbeat{Reply: true})
	}
}

// introduce sends this VM's record and digests, and requests the records that
// this VM lacks.
func (n *Node) introduce(vm model.VMID) {
	if last, ok := n.contacts.introducedAt[vm]; ok && n.now.Sub(last) < n.intervals.Contact/2 {
		return
	}
	n.contacts.introducedAt[vm] = n.now
	n.emit(SendDelta{To: vm, Delta: Delta{
		Records:  []Record{n.self.toWire(n.now)},
		Digests:  n.digests(),
		Exchange: true,
	}})
}

func (e VMListRead) apply(n *Node) {
	n.leadership.vmListEnded(n, e.Failed)
	for _, vm := range e.VMs {
		if vm.Role == platform.RoleEntry && vm.State == platform.VMLive {
			n.contacts.add(model.VMID(vm.ID), vm.Address)
		}
	}
}
