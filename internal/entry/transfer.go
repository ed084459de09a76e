package entry

import (
	"io"
	"net/http"
	"sync"
)

const (
	// bufferBytes is the size of a copy buffer.
	bufferBytes = 44 << 10
	// largeBodyBuffers is the number of buffers for a large body: one is filled
	// while another is written.
	largeBodyBuffers = 2
	// largeBodyBytes is the minimum declared length for which reads and writes
	// overlap.
	largeBodyBytes = 256 << 10
)

var buffers = sync.Pool{New: func() any {
	b := make([]byte, bufferBytes)
	return &b
}}

// copyBody copies a body in bounded memory. length is the declared length in bytes,
// negative if unknown. A body below largeBodyBytes is flushed after each read that
// fills less than half of the buffer, since the source then has no more data for now.
func copyBody(w http.ResponseWriter, src io.Reader, length int64) error {
	if length >= largeBodyBytes {
		return copyLargeBody(w, src)
	}
	flusher := http.NewResponseController(w)
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	for {
		n, err := src.Read(*buffer)
		if writeErr := writeNonEmpty(w, (*buffer)[:n]); writeErr != nil {
			return writeErr
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if n < bufferBytes/2 {
			_ = flusher.Flush()
		}
	}
}

// writeNonEmpty writes p unless it is empty.
func writeNonEmpty(w io.Writer, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	_, err := w.Write(p)
	return err
}

// filledBuffer is a buffer with the result of reading into it.
type filledBuffer struct {
	buffer *[]byte
	size   int
	err    error
}

// copyLargeBody reads ahead in a separate goroutine while it writes. The goroutine
// ends when the source does, so the caller must close the source.
func copyLargeBody(w io.Writer, src io.Reader) error {
	free := make(chan *[]byte, largeBodyBuffers)
	full := make(chan filledBuffer, largeBodyBuffers)
	for range largeBodyBuffers {
		free <- buffers.Get().(*[]byte)
	}
	defer close(free)
	go readAhead(src, free, full)
	for f := range full {
		if err := writeNonEmpty(w, (*f.buffer)[:f.size]); err != nil {
			return err
		}
		free <- f.buffer
		if f.err == io.EOF {
			return nil
		}
		if f.err != nil {
			return f.err
		}
	}
	return io.ErrUnexpectedEOF
}

// readFull reads until p is full or src returns an error. A few large writes cost less
// than many small ones.
func readFull(src io.Reader, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		m, err := src.Read(p[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// readAhead fills the buffers from free and sends them to full until src fails. It
// returns all buffers to the pool after free is closed.
func readAhead(src io.Reader, free <-chan *[]byte, full chan<- filledBuffer) {
	for buffer := range free {
		n, err := readFull(src, *buffer)
		full <- filledBuffer{buffer: buffer, size: n, err: err}
		if err != nil {
			break
		}
	}
	for buffer := range free {
		buffers.Put(buffer)
	}
}
