package pace

import "slices"

// maxCredit bounds the bytes that a floor can be owed.
const maxCredit = 2 * MaxChunk

// fifo is a queue of requests that reuses its memory.
type fifo struct {
	items []request
	head  int
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

// remove takes the request of a transfer out and reports whether it waited.
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
