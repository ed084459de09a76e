package share

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
)

// excusePause restarts the waiting for neighbours if this process itself did not run.
func (e *exchange) excusePause(now time.Time) {
	if e.nextRun.IsZero() || now.Sub(e.nextRun) < pauseTolerance {
		return
	}
	for l := range e.links() {
		if !l.waitingSince.IsZero() {
			l.waitingSince = now
		}
	}
}

// sendReplies answers neighbours without traffic, and sends them what is urgent.
func (e *exchange) sendReplies(now time.Time) []outgoing {
	var messages []outgoing
	for l := range e.links() {
		if l.replyDue {
			messages = append(messages, e.build(l, now, 0))
		}
	}
	return messages
}

// probe asks suspected VMs whether they are back, and answers those that asked this VM.
func (e *exchange) probe(now time.Time) []outgoing {
	messages := e.probeReplies
	e.probeReplies = nil
	if now.Before(e.nextProbe) {
		return messages
	}
	for _, vm := range e.tree.suspected() {
		messages = append(messages, outgoing{vm, (&message{flags: toParent | flagProbe}).encode()})
		e.nextProbe = now.Add(probeInterval)
	}
	return messages
}

// links yields all links.
func (e *exchange) links() func(yield func(*link) bool) {
	return func(yield func(*link) bool) {
		if e.parent != nil && !yield(e.parent) {
			return
		}
		for _, links := range []map[model.VMID]*link{e.children, e.regions} {
			for _, l := range byName(links) {
				if !yield(l) {
					return
				}
			}
		}
	}
}

// byName returns links in the order of the names of their VMs.
func byName(links map[model.VMID]*link) []*link {
	return slices.SortedFunc(maps.Values(links), func(a, b *link) int { return cmp.Compare(a.vm.Name, b.vm.Name) })
}

// newLink returns a link with a new stream.
func (e *exchange) newLink(vm catalog.VM, direction uint64, now time.Time) *link {
	// Two bytes on the wire.
	return newLink(vm, direction, 1+e.random.Uint64N(1<<14-1), now)
}

// chooseNeighbours ends the links to silent neighbours and opens those to the parent or
// to the roots of other regions. It returns farewells to former neighbours.
func (e *exchange) chooseNeighbours(now time.Time, engaged bool) []outgoing {
	e.expireLinks(now, engaged)
	messages := e.chooseParent(now)
	if e.parent != nil {
		for _, l := range e.regions {
			e.drop(l)
		}
		return messages
	}
	e.openRegions(now)
	return messages
}

// openRegions opens the links of a root to those of the other regions, before counters
// change that are to be passed on.
func (e *exchange) openRegions(now time.Time) {
	if e.parent != nil || !e.engaged(now) {
		return
	}
	for _, vm := range e.tree.remoteRoots() {
		if _, ok := e.regions[vm.Name]; !ok {
			e.regions[vm.Name] = e.newLink(vm, toRegion, now)
		}
	}
}

func (e *exchange) expireLinks(now time.Time, engaged bool) {
	if l := e.parent; l != nil {
		timeout := parentTimeout
		switch {
		case !engaged:
			timeout = quietTimeout
		case l.heardAt.IsZero():
			timeout = firstContactTimeout
		}
		if !l.waitingSince.IsZero() && now.Sub(l.waitingSince) >= timeout {
			e.tree.suspect(l.vm)
		}
	}
	for _, l := range e.children {
		timeout := childTimeout
		if l.quiet() {
			timeout = quietTimeout
		}
		if now.Sub(l.heardAt) >= timeout {
			e.drop(l)
		}
	}
	for _, l := range e.regions {
		heardAt := l.heardAt
		if heardAt.IsZero() {
			heardAt = l.createdAt
		}
		if engaged && !l.waitingSince.IsZero() && now.Sub(l.waitingSince) >= regionTimeout {
			e.tree.suspect(l.vm)
		}
		if now.Sub(heardAt) >= regionExpiry {
			e.drop(l)
		}
	}
}

// chooseParent replaces the parent if another VM is to take its place.
func (e *exchange) chooseParent(now time.Time) []outgoing {
	vm, ok := e.tree.parent()
	old := e.parent
	if ok == (old != nil) && (!ok || old.vm.Name == vm.Name && old.vm.Started == vm.Started) {
		return nil
	}
	var messages []outgoing
	unconfirmed := map[CounterKey]uint64{}
	if old != nil {
		messages = append(messages, e.build(old, now, flagBye))
		unconfirmed = old.out.undelivered()
		e.drop(old)
	}
	if !ok {
		return messages
	}
	e.parent = e.newLink(vm, toParent, now)
	e.parent.out.held = unconfirmed
	e.nextReport, e.nextQuiet = now, now
	return messages
}

// drop ends a link and removes what was heard on it.
func (e *exchange) drop(l *link) {
	e.clearLoads(l)
	switch l.direction {
	case toParent:
		e.parent = nil
	case toChild:
		delete(e.children, l.vm.Name)
	default:
		delete(e.regions, l.vm.Name)
	}
}

// carries reports whether a link passes on what was heard on from; nil stands for this
// VM. What came from outside the subtree of this VM goes to its children only.
func carries(l, from *link) bool {
	return l != from && (l.direction == toChild || from == nil || from.direction == toChild)
}
