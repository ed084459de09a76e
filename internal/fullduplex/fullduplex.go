// Package fullduplex lets an HTTP handler forward the body of a request while it sends
// the response. Without it, net/http discards up to 256 KiB of the unread body when the
// response begins, which would leave a gap in what is forwarded.
package fullduplex

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Body is the body of a request.
type Body struct {
	source           io.Reader
	control          *http.ResponseController
	forwarded, ended atomic.Bool
}

// Wrap returns the writer to use for the response instead of w, and the body of the
// request. Until Forward is called, both behave as before.
func Wrap(w http.ResponseWriter, source io.Reader) (http.ResponseWriter, *Body) {
	body := &Body{source: source, control: http.NewResponseController(w)}
	return &writer{ResponseWriter: w, body: body}, body
}

// Forward allows another goroutine to read the body from now on while the response is
// written. A response that begins before the end of the body then closes the
// connection, since a further request would follow the rest of the body.
func (b *Body) Forward() error {
	if err := b.control.EnableFullDuplex(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Wrap(err, "enable full duplex")
	}
	b.forwarded.Store(true)
	return nil
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// writer is the writer of the response.
type writer struct {
	http.ResponseWriter
	body  *Body
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	if status >= http.StatusOK && !w.begun {
		w.begun = true
		if w.body.forwarded.Load() && !w.body.ended.Load() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// begin writes the header unless it has been written.
func (w *writer) begin() {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
}

// Write implements http.ResponseWriter.
func (w *writer) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

// ReadFrom implements io.ReaderFrom, so that io.Copy can use that of net/http.
func (w *writer) ReadFrom(source io.Reader) (int64, error) {
	w.begin()
	return io.Copy(w.ResponseWriter, source)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
