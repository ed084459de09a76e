package entry

import (
	"io"
	"net/http"
	"sync"
)

const (
	// chunkBytes is the size of one buffer of an open transfer.
	chunkBytes = 44 << 10
	// overlapChunks is the count of buffers of a large transfer: one is read
	// into while another is written out.
	overlapChunks = 2
	// largeBytes is the declared length from which reading and writing overlap.
	largeBytes = 256 << 10
)

var chunks = sync.Pool{New: func() any {
	b := make([]byte, chunkBytes)
	return &b
}}

// transfer copies a body of a declared length, negative when unknown, in
// bounded memory. It flushes whenever the source has no more for now.
func transfer(w http.ResponseWriter, src io.Reader, length int64) error {
	if length >= largeBytes {
		return transferLarge(w, src)
	}
	flusher := http.NewResponseController(w)
	buffer := chunks.Get().(*[]byte)
	defer chunks.Put(buffer)
	for {
		n, err := src.Read(*buffer)
		if werr := writeChunk(w, (*buffer)[:n]); werr != nil {
			return werr
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if n < chunkBytes/2 {
			_ = flusher.Flush()
		}
	}
}

func writeChunk(w io.Writer, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	_, err := w.Write(p)
	return err
}

// filled is a buffer with what one read returned.
type filled struct {
	buffer *[]byte
	size   int
	err    error
}

// transferLarge reads ahead on a goroutine of its own while it writes. The
// goroutine ends with the source, which the caller closes.
func transferLarge(w io.Writer, src io.Reader) error {
	free := make(chan *[]byte, overlapChunks)
	full := make(chan filled, overlapChunks)
	for range overlapChunks {
		free <- chunks.Get().(*[]byte)
	}
	defer close(free)
	go readAhead(src, free, full)
	for f := range full {
		if err := writeChunk(w, (*f.buffer)[:f.size]); err != nil {
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
func fill(src io.Reader, p []byte) (int, error) {
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

func readAhead(src io.Reader, free <-chan *[]byte, full chan<- filled) {
	for buffer := range free {
		n, err := fill(src, *buffer)
		full <- filled{buffer: buffer, size: n, err: err}
		if err != nil {
			break
		}
	}
	for buffer := range free {
		chunks.Put(buffer)
	}
}
