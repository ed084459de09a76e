package membership

import (
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// duplicateGracePeriod is how long this process waits for another process
	// of its slot to prove that it is the replacement.
	duplicateGracePeriod = 5 * time.Second
	// freshPeriod is how long after its start a process that was never paused
	// cannot have been replaced yet.
	freshPeriod = 10 * time.Second
)

// mergeSelf handles a record of this VM's own slot received from another VM.
// Of two processes in one slot the one that started last is the replacement.
// The age in a record can prove that the other process is older. That the
// other process is younger is certain only if its record lists this process as
// replaced, because transit delay makes a process look younger.
func (n *Node) mergeSelf(r Record) {
	if r.identity() == n.self.identity() {
		n.refute(r.Seq, r.State)
		return
	}
	older := n.self.startedAfter(r)
	if !older && n.replacedBy(r) {
		n.yieldSlot(r)
		return
	}
	if older || n.duplicateWaitElapsed(r.Incarnation) {
		n.takeOverSlot(r)
	}
}

// mergeOwnStored handles this slot's record from the store. The age of the
// stored process is unknown.
func (n *Node) mergeOwnStored(r Record) {
	if r.identity() == n.self.identity() {
		return
	}
	if n.replacedBy(r) {
		n.yieldSlot(r)
		return
	}
	fresh := !n.paused && n.now.Sub(n.self.startedAt) < freshPeriod
	if fresh || n.duplicateWaitElapsed(r.Incarnation) {
		n.takeOverSlot(r)
	}
}

// replacedBy reports whether r lists this process as replaced. If both list
// each other, the process that started later stays.
func (n *Node) replacedBy(r Record) bool {
	if !r.hasReplaced(n.self.Incarnation) {
		return false
	}
	mutual := n.self.hasReplaced(r.Incarnation)
	return !mutual || r.startedAfter(n.self) || r.replaces(n.self)
}

// duplicateWaitElapsed reports whether another process of this slot has been
// known for at least duplicateGracePeriod. The first call starts the period.
func (n *Node) duplicateWaitElapsed(duplicate model.Incarnation) bool {
	since, ok := n.duplicatesSince[duplicate]
	if !ok {
		n.duplicatesSince[duplicate] = n.now
		return false
	}
	return n.now.Sub(since) >= duplicateGracePeriod
}

// takeOverSlot makes this process the successor of the process of r, with a
// higher epoch.
func (n *Node) takeOverSlot(r Record) {
	if n.self.Epoch > r.Epoch && n.self.hasReplaced(r.Incarnation) {
		return
	}
	n.self.Epoch = max(n.self.Epoch, r.Epoch+1)
	n.self.addPrevious(r.Previous...)
	n.self.addPrevious(r.Incarnation)
	n.self.Seq++
	n.announceSelf()
}

// yieldSlot stops this Node because the process of r has taken over the slot.
func (n *Node) yieldSlot(r Record) {
	n.stopped = true
	n.self.State = StateDead
	n.views.dirty = true
	n.emit(Superseded{By: r.Incarnation})
}
