package pace

import "slices"

// maxCredit limits the bytes that the pacer can owe a priority's floor.
const maxCredit = 2 * MaxChunk

// fifo is a first-in, first-out queue of requests that reuses its memory.
type fifo struct {
	items []request
	// head is the index of the first request in items.
	head int
}

func (f *fifo) len() int { return len(f.items) - f.head }

func (f *fifo) front() *request { return &f.items[f.head] }

func (f *fifo) push(r request) {
	if f.head > 0 && len(f.items) == cap(f.items) {
		f.items = slices.Delete(f.items, 0, f.head)
		f.head = 0
	}
	f.items = append(f.items, r)
}

func (f *fifo) pop() request {
	r := f.items[f.head]
	f.head++
	if f.head == len(f.items) {
		f.items = f.items[:0]
		f.head = 0
	}
	return r
}

// remove removes the request of a transfer and reports whether there was one.
func (f *fifo) remove(id TransferID) bool {
	for i := f.head; i < len(f.items); i++ {
		if f.items[i].id != id {
			continue
		}
		f.items = slices.Delete(f.items, i, i+1)
		if f.head == len(f.items) {
			f.items = f.items[:0]
			f.head = 0
		}
		return true
	}
	return false
}
