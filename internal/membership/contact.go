package membership

import (
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/platform"
)

const (
	// contactsPerTry is the count of unknown VMs tried at once before the
	// first answer.
	contactsPerTry = 3
	// unreachablePerTry is the count of unreachable zones tried at once.
	unreachablePerTry = 2
)

// contactBook holds the VMs that this VM may get in touch with.
type contactBook struct {
	addresses map[model.VMID]string
	order     []model.VMID
	next      int
	nextZone  int
	due       time.Time
	// introduced spaces introductions to one VM.
	introduced map[model.VMID]time.Time
}

func newContactBook(seeds []Seed) contactBook {
	b := contactBook{
		addresses:  map[model.VMID]string{},
		introduced: map[model.VMID]time.Time{},
	}
	for _, s := range seeds {
		b.add(s.VM, s.Address)
	}
	return b
}

func (b *contactBook) add(vm model.VMID, address string) {
	if vm == "" || address == "" {
		return
	}
	if _, ok := b.addresses[vm]; !ok {
		b.order = append(b.order, vm)
	}
	b.addresses[vm] = address
}

// tickContacts tries to reach VMs that are unknown, dead or cut off.
func (n *Node) tickContacts() {
	if n.now.Before(n.contacts.due) {
		return
	}
	n.contacts.due = n.now.Add(n.pace.Contact)
	n.contactUnknown()
	n.contactDead()
	n.contactUnreachable()
}

// contactUnknown introduces this VM to contacts that it has not heard of.
func (n *Node) contactUnknown() {
	limit := contactsPerTry
	if n.joined {
		limit = 1
	}
	if n.joined && !n.leads() {
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
		n.do(SetAddress{VM: vm, Address: book.addresses[vm]})
		n.introduce(vm)
		limit--
	}
}

// contactDead tries one dead member of the zone, which may have been cut off.
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

// contactUnreachable tries zones that do not answer, by their leader and by
// any other member in turn.
func (n *Node) contactUnreachable() {
	if !n.leads() {
		return
	}
	zones := sortedKeys(n.zones.unreachable)
	for range min(unreachablePerTry, len(zones)) {
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

// introduce sends this VM's record and asks for what it does not know.
func (n *Node) introduce(vm model.VMID) {
	if last, ok := n.contacts.introduced[vm]; ok && n.now.Sub(last) < n.pace.Contact/2 {
		return
	}
	n.contacts.introduced[vm] = n.now
	n.do(SendDelta{To: vm, Delta: Delta{
		Records:  []Record{n.self.sent(n.now)},
		Digests:  n.digests(),
		Exchange: true,
	}})
}

func (e VMListRead) apply(n *Node) {
	n.duty.vmListEnded(n, e.Failed)
	for _, vm := range e.VMs {
		if vm.Role == platform.RoleEntry && vm.State == platform.VMLive {
			n.contacts.add(model.VMID(vm.ID), vm.Address)
		}
	}
}
