package entry

import (
	"bytes"
	"crypto/sha256"
	"io"

	"fuchsiaspar/internal/intake"

	"github.com/pkg/errors"
)

// errBodyConsumed reports a request body that was sent once and not buffered.
var errBodyConsumed = errors.New("request body can't be sent again")

// replayableBody is a request body that can be sent again if it fits in memory.
type replayableBody struct {
	source io.Reader
	// client accounts the buffer; nil if the connection is not accounted.
	client *intake.Conn
	// forward is called before the source is handed to another goroutine.
	forward func() error
	// length is the length in bytes, negative if unknown.
	length int64
	// limit is the maximum number of bytes to buffer.
	limit    int
	buffered []byte
	// complete is set if buffered holds the whole body.
	complete bool
	// consumed is set once open has returned the source.
	consumed bool
}

func newReplayableBody(source io.Reader, client *intake.Conn, length int64, limit int, forward func() error) *replayableBody {
	b := &replayableBody{source: source, client: client, forward: forward, length: length, limit: limit}
	if length == 0 {
		b.complete = true
	}
	return b
}

// buffer reads the body into memory if it is within the limit.
func (b *replayableBody) buffer() error {
	if b.complete || b.length > int64(b.limit) {
		return nil
	}
	buffered, err := b.client.ReadBody(b.source, b.length, b.limit+1)
	b.buffered = buffered
	if err != nil {
		return errors.Wrap(err, "read request body")
	}
	if len(buffered) <= b.limit {
		b.complete = true
		b.length = int64(len(buffered))
	}
	return nil
}

// open returns a reader from the start of the body and the length of the body in
// bytes, negative if unknown. It returns errBodyConsumed if the body was sent once and
// is not in memory.
func (b *replayableBody) open() (io.Reader, int64, error) {
	if b.complete {
		return bytes.NewReader(b.buffered), b.length, nil
	}
	if b.consumed {
		return nil, 0, errBodyConsumed
	}
	if err := b.forward(); err != nil {
		return nil, 0, err
	}
	b.consumed = true
	return io.MultiReader(bytes.NewReader(b.buffered), b.source), b.length, nil
}

// replayable reports whether open can succeed.
func (b *replayableBody) replayable() bool { return b.complete || !b.consumed }

// digest returns the SHA-256 of a body that is completely in memory, otherwise nil.
func (b *replayableBody) digest() []byte {
	if !b.complete {
		return nil
	}
	sum := sha256.Sum256(b.buffered)
	return sum[:]
}
