package membership

import (
	"fuchsiaspar/internal/model"
)

// merge takes in a record that another VM sent. Claims are records that call
// a known process suspect or dead; a sender that this VM holds for dead may
// itself have been cut off, so its claims are not trusted.
func (n *Node) merge(r Record, trusted, bulk bool) {
	if !r.valid() {
		return
	}
	r = r.received(n.now)
	if r.VM == n.self.VM {
		n.mergeSelf(r)
		return
	}
	old, known := n.table.get(r.VM)
	if known && (!r.supersedes(old) || r.isReturnOf(old)) {
		n.correct(r, old)
		return
	}
	if known && !trusted && n.isClaim(r, old) {
		return
	}
	n.store(r)
	if known || !bulk {
		n.spread.queue(r.VM)
	}
}

func (n *Node) isClaim(r, old Record) bool {
	return r.identity() == old.identity() && (r.State == StateSuspect || !r.State.present())
}

// correct answers a process that does not know of its replacement.
func (n *Node) correct(r, newer Record) {
	if newer.identity() == r.identity() {
		return
	}
	if newer.startedAfter(r) && !newer.hasReplaced(r.Incarnation) {
		newer.addPrevious(r.Incarnation)
		n.table.put(newer)
	}
	if n.source == r.VM {
		n.sendRecords(r.VM, []Record{newer}, false)
	}
}

// store puts a record of another VM into the table.
func (n *Node) store(r Record) {
	old, known := n.table.get(r.VM)
	replaced := known && old.identity() != r.identity()
	if known {
		r.inherit(old)
	}
	n.table.put(r)
	n.views.dirty = true
	delete(n.monitor.declaredDead, r.VM)
	if replaced {
		n.forgetProcess(r.VM)
	}
	if !known || old.Address != r.Address {
		n.do(SetAddress{VM: r.VM, Address: r.Address})
	}
	if replaced || !r.State.present() {
		n.do(DropLink{VM: r.VM})
	}
}

// forgetProcess removes what was learned of an earlier process of the slot.
func (n *Node) forgetProcess(vm model.VMID) {
	delete(n.monitor.heard, vm)
	delete(n.monitor.watched, vm)
	delete(n.local.reports, vm)
	delete(n.spread.differs, vm)
}

// refute answers a claim that this process is suspect or dead. A process that
// was declared dead may have been cut off, so it also takes back its own
// claims on others.
func (n *Node) refute(seq uint64, claimed State) {
	wrong := claimed == StateSuspect || !claimed.present()
	if !wrong || seq < n.self.Seq {
		return
	}
	n.self.Seq = seq + 1
	n.announceSelf()
	if !claimed.present() {
		n.withdrawDeaths()
	}
}

// withdrawDeaths makes the members alive again that this VM alone declared
// dead. Those that are dead will be reported by others or found silent again.
func (n *Node) withdrawDeaths() {
	for _, vm := range sortedKeys(n.monitor.declaredDead) {
		r, _ := n.table.get(vm)
		if r.State == StateDead {
			r.State = StateAlive
			n.store(r)
			delete(n.monitor.watched, vm)
		}
	}
	clear(n.monitor.declaredDead)
}
