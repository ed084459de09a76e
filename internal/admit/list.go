package admit

// linkKind selects the links of one of the lists that an entry can belong to at
// the same time.
type linkKind uint8

const (
	// byAccount links the waiting entries of an account in one subqueue.
	byAccount linkKind = iota
	// byAge links the waiting entries of a priority in order of arrival, or its
	// cancellable running entries in order of start.
	byAge
	numLinkKinds
)

// links are an entry's neighbours in one list.
type links struct {
	prev, next *entry
}

// list is an intrusive doubly linked list of entries that uses their links of
// one kind.
type list struct {
	kind       linkKind
	head, tail *entry
}

func (l *list) pushBack(e *entry) {
	e.links[l.kind] = links{prev: l.tail}
	if l.tail == nil {
		l.head = e
	} else {
		l.tail.links[l.kind].next = e
	}
	l.tail = e
}

func (l *list) remove(e *entry) {
	link := e.links[l.kind]
	if link.prev == nil {
		l.head = link.next
	} else {
		link.prev.links[l.kind].next = link.next
	}
	if link.next == nil {
		l.tail = link.prev
	} else {
		link.next.links[l.kind].prev = link.prev
	}
	e.links[l.kind] = links{}
}

// after returns the entry that follows e in the direction of the head or the
// tail, or nil.
func (l *list) after(e *entry, towardsHead bool) *entry {
	if towardsHead {
		return e.links[l.kind].prev
	}
	return e.links[l.kind].next
}

// first returns the entry at the tail or at the head, nil if the list is empty.
func (l *list) first(fromTail bool) *entry {
	if fromTail {
		return l.tail
	}
	return l.head
}
