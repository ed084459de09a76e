package upstream

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// uploadBuffer is the size of a piece of a streamed body.
const uploadBuffer = 32 << 10

// Body is the body of an answer. Read returns io.EOF only at its true end.
type Body struct {
	ex    *exchange
	resp  *http.Response
	ended bool
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		b.end()
		return n, io.EOF
	}
	b.Close()
	return n, errors.WithMessage(ErrCut, err.Error())
}

func (b *Body) end() {
	if !b.ended {
		b.ended = true
		b.ex.finish(b.resp)
	}
}

// Discard ends an answer whose body nobody needs. Its connection is kept if the
// body has arrived already.
func (b *Body) Discard() {
	if length := b.resp.ContentLength; length >= 0 && int64(b.ex.conn.reader.Buffered()) >= length {
		// A body that can't be read closes the connection, as Close does.
		_, _ = io.Copy(io.Discard, b)
	}
	b.Close()
}

// Close gives the answer up unless it was read to its end.
func (b *Body) Close() {
	if !b.ended {
		b.ended = true
		b.ex.abort()
	}
}

// upload sends the rest of a large body while the answer is awaited. A server
// may answer before it has read the body; the connection is then not reused.
func (ex *exchange) upload() {
	ex.uploaded = make(chan error, 1)
	go func() { ex.uploaded <- ex.sendStream() }()
}

func (ex *exchange) sendStream() error {
	if ex.req.Length > 0 {
		_, err := io.CopyN(ex.conn, ex.req.Stream, ex.req.Length-int64(len(ex.req.Body)))
		if err != nil {
			ex.conn.Close()
		}
		return err
	}
	buf := make([]byte, uploadBuffer)
	for {
		n, err := ex.req.Stream.Read(buf)
		if writeErr := writeChunk(ex.conn, buf[:n]); writeErr != nil {
			return writeErr
		}
		if err == io.EOF {
			_, err = io.WriteString(ex.conn, "0\r\n\r\n")
			return err
		}
		if err != nil {
			// The client's body ended early: the server must not take what it
			// has for the whole.
			ex.conn.Close()
			return err
		}
	}
}
