package membership

import (
	"fuchsiaspar/internal/model"
)

// merge applies a record received from another VM. A failure claim, a record
// that declares a known process suspect or dead, is ignored if its sender is
// untrusted: this VM considers the sender dead, so the sender may itself have
// been partitioned. A newly discovered slot in a bulk delta is not forwarded.
func (n *Node) merge(r Record, trusted, bulk bool) {
	if !r.valid() {
		return
	}
	r = r.fromWire(n.now)
	if r.VM == n.self.VM {
		n.mergeSelf(r)
		return
	}
	old, known := n.table.get(r.VM)
	if known && (!r.supersedes(old) || r.isReplacedBy(old)) {
		n.correctSender(r, old)
		return
	}
	if known && !trusted && n.isFailureClaim(r, old) {
		return
	}
	n.storeRecord(r)
	if known || !bulk {
		n.dissemination.queue(r.VM)
	}
}

func (n *Node) isFailureClaim(r, old Record) bool {
	return r.identity() == old.identity() && (r.State == StateSuspect || !r.State.present())
}

// correctSender informs a process of its replacement, if r describes a process
// other than that of the newer record.
func (n *Node) correctSender(r, newer Record) {
	if newer.identity() == r.identity() {
		return
	}
	if newer.startedAfter(r) && !newer.hasReplaced(r.Incarnation) {
		newer.addPrevious(r.Incarnation)
		n.table.put(newer)
	}
	if n.sender == r.VM {
		n.sendRecords(r.VM, []Record{newer}, false)
	}
}

// storeRecord puts a record of another VM into the table and updates its
// links.
func (n *Node) storeRecord(r Record) {
	old, known := n.table.get(r.VM)
	replaced := known && old.identity() != r.identity()
	if known {
		r.inherit(old)
	}
	n.table.put(r)
	n.views.dirty = true
	delete(n.monitor.declaredDead, r.VM)
	if replaced {
		n.clearProcessState(r.VM)
	}
	if !known || old.Address != r.Address {
		n.emit(SetAddress{VM: r.VM, Address: r.Address})
	}
	if replaced || !r.State.present() {
		n.emit(DropLink{VM: r.VM})
	}
}

// clearProcessState removes the state kept for an earlier process of the slot.
func (n *Node) clearProcessState(vm model.VMID) {
	delete(n.monitor.lastHeard, vm)
	delete(n.monitor.watchedSince, vm)
	delete(n.local.reports, vm)
	delete(n.dissemination.differsSince, vm)
}

// refute disproves a claim that this process is suspect or dead by raising its
// sequence number. A process that was declared dead may have been partitioned,
// so it also retracts its own claims about others.
func (n *Node) refute(seq uint64, claimed State) {
	wrong := claimed == StateSuspect || !claimed.present()
	if !wrong || seq < n.self.Seq {
		return
	}
	n.self.Seq = seq + 1
	n.announceSelf()
	if !claimed.present() {
		n.retractDeaths()
	}
}

// retractDeaths marks as alive again the members that this VM itself declared
// dead. If some are dead, others will report them or they will be found silent
// again.
func (n *Node) retractDeaths() {
	for _, vm := range sortedKeys(n.monitor.declaredDead) {
		r, _ := n.table.get(vm)
		if r.State == StateDead {
			r.State = StateAlive
			n.storeRecord(r)
			delete(n.monitor.watchedSince, vm)
		}
	}
	clear(n.monitor.declaredDead)
}
