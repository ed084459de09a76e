package upstream

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// uploadBufferSize is the largest part, in bytes, in which a streamed request body
// is passed on.
const uploadBufferSize = 32 << 10

// Body is the body of a response.
type Body struct {
	ex   *exchange
	resp *http.Response
	// ended is set once the exchange is finished or aborted.
	ended bool
}

// Read implements io.Reader. It returns io.EOF only at the true end of the body,
// and ErrTruncated if the body ends early.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF && b.endsWithConnection() {
		if cause := b.ex.conn.endError(); cause != nil {
			err = cause
		}
	}
	if err == io.EOF {
		b.end()
		return n, io.EOF
	}
	b.Close()
	return n, errors.WithMessage(ErrTruncated, err.Error())
}

// endsWithConnection reports whether only the end of the connection marks the end of the
// body.
func (b *Body) endsWithConnection() bool {
	return b.resp.ContentLength < 0 && len(b.resp.TransferEncoding) == 0
}

// end finishes the exchange after the body was read to its end, unless the request is
// still being sent.
func (b *Body) end() {
	if !b.ended && !b.ex.uploading() {
		b.ended = true
		b.ex.finish(b.resp)
	}
}

// Uploading reports whether a part of the request still has to be sent. A server may
// respond before it has read a long request.
func (b *Body) Uploading() bool { return !b.ended && b.ex.uploading() }

// AwaitUpload waits until the request was sent, after the body was read to its end, and
// returns the error of sending it. If it isn't called while Uploading, the rest of the
// request is lost once its context ends.
func (b *Body) AwaitUpload() error {
	if b.ended {
		return nil
	}
	err := b.ex.awaitUpload()
	b.ended = true
	b.ex.finish(b.resp)
	return err
}

// Discard closes a body that is not needed. The connection is reused if the whole
// body has already arrived.
func (b *Body) Discard() {
	if length := b.resp.ContentLength; length >= 0 && int64(b.ex.conn.reader.Buffered()) >= length {
		// On a read error the connection is closed, as by Close.
		_, _ = io.Copy(io.Discard, b)
	}
	b.Close()
}

// Interrupt makes a concurrent Read fail, unless the body has ended. Close must still be
// called.
func (b *Body) Interrupt() { b.ex.interrupt() }

// Close closes the connection unless the body was read to its end and the request was
// sent.
func (b *Body) Close() {
	if !b.ended {
		b.ended = true
		b.ex.abort()
	}
}

// startUpload sends the rest of the request concurrently with waiting for the
// response.
func (ex *exchange) startUpload() {
	ex.uploaded = make(chan error, 1)
	go func() { ex.uploaded <- ex.upload() }()
}

// upload sends what encodeHeader left of the body.
func (ex *exchange) upload() error {
	if len(ex.req.Body) > maxInlineBody {
		if err := ex.writeBody(ex.conn, ex.req.Body); err != nil {
			return err
		}
	}
	if ex.req.Stream == nil {
		return nil
	}
	return ex.sendStream()
}

// sendStream sends the rest of a streamed body. It closes the connection if the
// client's body ends early, so that the server does not take what it has received
// for the whole body.
func (ex *exchange) sendStream() error {
	buf := make([]byte, uploadBufferSize)
	remaining := ex.req.Length - int64(len(ex.req.Body))
	for ex.req.Length < 0 || remaining > 0 {
		n, err := ex.req.Stream.Read(buf)
		if writeErr := ex.writeBody(ex.conn, buf[:n]); writeErr != nil {
			return writeErr
		}
		remaining -= int64(n)
		if err == io.EOF && ex.req.Length < 0 {
			_, err = io.WriteString(ex.conn, "0\r\n\r\n")
			return err
		}
		if err != nil && remaining != 0 {
			ex.conn.Close()
			return err
		}
	}
	return nil
}
