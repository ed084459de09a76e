package membership

import (
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// duplicateWait is how long this VM waits for another process of its slot to
	// prove itself the replacement.
	duplicateWait = 5 * time.Second
	// freshFor is how long a process that was never paused counts as just
	// started: nothing can have replaced it yet.
	freshFor = 10 * time.Second
)

// mergeSelf answers what others say of this VM's own slot. Of two processes in
// one slot the one that started last is the replacement. The age of a record
// shows for certain that its process is older; that it is younger is certain
// only when the record names this process as replaced.
func (n *Node) mergeSelf(r Record) {
	if r.identity() == n.self.identity() {
		n.refute(r.Seq, r.State)
		return
	}
	older := n.self.startedAfter(r)
	if !older && n.replacedBy(r) {
		n.yield(r)
		return
	}
	if older || n.waitedFor(r.Incarnation) {
		n.replace(r)
	}
}

// mergeOwnStored takes in this slot's record from the store, whose age is not
// known.
func (n *Node) mergeOwnStored(r Record) {
	if r.identity() == n.self.identity() {
		return
	}
	if n.replacedBy(r) {
		n.yield(r)
		return
	}
	fresh := !n.paused && n.now.Sub(n.self.born) < freshFor
	if fresh || n.waitedFor(r.Incarnation) {
		n.replace(r)
	}
}

// replacedBy reports whether r names this process as replaced. When both name
// one another, the one that started later stays.
func (n *Node) replacedBy(r Record) bool {
	if !r.hasReplaced(n.self.Incarnation) {
		return false
	}
	mutual := n.self.hasReplaced(r.Incarnation)
	return !mutual || r.startedAfter(n.self) || r.replaces(n.self)
}

// waitedFor reports whether another process of this slot has been known for
// duplicateWait.
func (n *Node) waitedFor(duplicate model.Incarnation) bool {
	since, ok := n.duplicates[duplicate]
	if !ok {
		n.duplicates[duplicate] = n.now
		return false
	}
	return n.now.Sub(since) >= duplicateWait
}

// replace makes this process the successor of another one.
func (n *Node) replace(r Record) {
	if n.self.Epoch > r.Epoch && n.self.hasReplaced(r.Incarnation) {
		return
	}
	n.self.Epoch = max(n.self.Epoch, r.Epoch+1)
	n.self.addPrevious(r.Previous...)
	n.self.addPrevious(r.Incarnation)
	n.self.Seq++
	n.announceSelf()
}

// yield ends this Node, since another process has taken over the slot.
func (n *Node) yield(r Record) {
	n.stopped = true
	n.self.State = StateDead
	n.views.dirty = true
	n.do(Superseded{By: r.Incarnation})
}
