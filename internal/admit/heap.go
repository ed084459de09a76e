package admit

// heapNode is an element that stores its index in an indexedHeap.
type heapNode[T any] interface {
	// less reports whether the element is closer to the top than other.
	less(other T) bool
	// setIndex stores the element's index, notInHeap when it is removed.
	setIndex(i int)
}

// notInHeap is the index of an element outside its heap.
const notInHeap = -1

// indexedHeap is a binary heap whose elements can be updated and removed by
// index. The top is nodes[0].
type indexedHeap[T heapNode[T]] struct {
	nodes []T
}

func (h *indexedHeap[T]) push(n T) {
	h.nodes = append(h.nodes, n)
	last := len(h.nodes) - 1
	n.setIndex(last)
	h.up(last)
}

// removeAt removes the element at index i.
func (h *indexedHeap[T]) removeAt(i int) {
	last := len(h.nodes) - 1
	removed := h.nodes[i]
	h.nodes[i] = h.nodes[last]
	h.nodes[i].setIndex(i)
	var zero T
	h.nodes[last] = zero
	h.nodes = h.nodes[:last]
	if i < last {
		h.fix(i)
	}
	removed.setIndex(notInHeap)
}

// fix restores the order after the element at index i has changed.
func (h *indexedHeap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.nodes[i].less(h.nodes[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down moves the element at index i towards the leaves and reports whether it
// moved.
func (h *indexedHeap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.nodes) {
			break
		}
		if right := child + 1; right < len(h.nodes) && h.nodes[right].less(h.nodes[child]) {
			child = right
		}
		if !h.nodes[child].less(h.nodes[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.nodes[i], h.nodes[j] = h.nodes[j], h.nodes[i]
	h.nodes[i].setIndex(i)
	h.nodes[j].setIndex(j)
}
