package entry

import (
	"io"
	"net/http"
	"sync"
)

const (
	// chunkBytes is the size of one buffer of an open transfer.
	bufferBytes = 44 << 10
	// overlapChunks is the count of buffers of a large transfer: one is read
	// into while another is written out.
	largeBodyBuffers = 2
	// largeBytes is the declared length from which reading and writing overlap.
	largeBodyBytes = 256 << 10
)

var buffers = sync.Pool{New: func() any {
	b := make([]byte, bufferBytes)
	return &b
}}

// transfer copies a body of a declared length, negative when unknown, in
// bounded memory. It flushes whenever the source has no more for now.
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

func writeNonEmpty(w io.Writer, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	_, err := w.Write(p)
	return err
}

// filled is a buffer with what one read returned.
type filledBuffer struct {
	buffer *[]byte
	size   int
	err    error
}

// transferLarge reads ahead on a goroutine of its own while it writes. The
// goroutine ends with the source, which the caller closes.
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

// fill reads until p is full or the source fails. Few large writes cost less
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
