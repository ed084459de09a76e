package entry

import (
	"bytes"
	"crypto/sha256"
	"io"

	"github.com/pkg/errors"
)

// errBodyGone reports a request body that was sent once and is not kept.
var errBodyConsumed = errors.New("request body can't be sent again")

// replayBody is a request body that can be sent again while it is small.
type replayableBody struct {
	source   io.Reader
	length   int64
	limit    int
	buffered []byte
	complete bool
	consumed bool
}

func newReplayableBody(source io.Reader, length int64, limit int) *replayableBody {
	b := &replayableBody{source: source, length: length, limit: limit}
	if length == 0 {
		b.complete = true
	}
	return b
}

// fill reads the body into memory if it fits within the limit.
func (b *replayableBody) buffer() error {
	if b.complete || b.length > int64(b.limit) {
		return nil
	}
	buffered, err := io.ReadAll(io.LimitReader(b.source, int64(b.limit)+1))
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

// reader returns the body from its start with its length, which is negative
// when unknown.
func (b *replayableBody) open() (io.Reader, int64, error) {
	if b.complete {
		return bytes.NewReader(b.buffered), b.length, nil
	}
	if b.consumed {
		return nil, 0, errBodyConsumed
	}
	b.consumed = true
	return io.MultiReader(bytes.NewReader(b.buffered), b.source), b.length, nil
}

// replayable reports whether the body can be sent another time.
func (b *replayableBody) replayable() bool { return b.complete || !b.consumed }

// digest returns the hash of a body that is wholly in memory, or nil.
func (b *replayableBody) digest() []byte {
	if !b.complete {
		return nil
	}
	sum := sha256.Sum256(b.buffered)
	return sum[:]
}
