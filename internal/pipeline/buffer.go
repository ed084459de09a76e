package pipeline

import "sync"

// readBuffer holds up to maxReadAheadBytes received bytes. It takes memory only while it
// holds bytes.
type readBuffer struct {
	array      *[maxReadAheadBytes]byte
	start, end int
}

var arrays = sync.Pool{New: func() any { return new([maxReadAheadBytes]byte) }}

func (b *readBuffer) len() int { return b.end - b.start }

func (b *readBuffer) bytes() []byte {
	if b.array == nil {
		return nil
	}
	return b.array[b.start:b.end]
}

// append adds bytes for which there is room.
func (b *readBuffer) append(p []byte) {
	if len(p) > 0 {
		b.grow(copy(b.space(), p))
	}
}

// space returns the room behind the held bytes. Bytes that are written to it are added
// by grow.
func (b *readBuffer) space() []byte {
	if b.array == nil {
		b.array, _ = arrays.Get().(*[maxReadAheadBytes]byte)
	}
	if b.start > 0 {
		b.start, b.end = 0, copy(b.array[:], b.array[b.start:b.end])
	}
	return b.array[b.end:]
}

func (b *readBuffer) grow(n int) { b.end += n }

func (b *readBuffer) drop(n int) { b.start += n }

// release returns the memory of an empty buffer.
func (b *readBuffer) release() {
	if b.array != nil && b.len() == 0 {
		arrays.Put(b.array)
		*b = readBuffer{}
	}
}
