package entry

import (
	"bytes"
	"crypto/sha256"
	"io"

	"github.com/pkg/errors"
)

// errBodyGone reports a request body that was sent once and is not kept.
var errBodyGone = errors.New("request body can't be sent again")

// replayBody is a request body that can be sent again while it is small.
type replayBody struct {
	source io.Reader
	length int64
	limit  int
	kept   []byte
	whole  bool
	taken  bool
}

func newReplayBody(source io.Reader, length int64, limit int) *replayBody {
	b := &replayBody{source: source, length: length, limit: limit}
	if length == 0 {
		b.whole = true
	}
	return b
}

// fill reads the body into memory if it fits within the limit.
func (b *replayBody) fill() error {
	if b.whole || b.length > int64(b.limit) {
		return nil
	}
	kept, err := io.ReadAll(io.LimitReader(b.source, int64(b.limit)+1))
	b.kept = kept
	if err != nil {
		return errors.Wrap(err, "read request body")
	}
	if len(kept) <= b.limit {
		b.whole = true
		b.length = int64(len(kept))
	}
	return nil
}

// reader returns the body from its start with its length, which is negative
// when unknown.
func (b *replayBody) reader() (io.Reader, int64, error) {
	if b.whole {
		return bytes.NewReader(b.kept), b.length, nil
	}
	if b.taken {
		return nil, 0, errBodyGone
	}
	b.taken = true
	return io.MultiReader(bytes.NewReader(b.kept), b.source), b.length, nil
}

// replayable reports whether the body can be sent another time.
func (b *replayBody) replayable() bool { return b.whole || !b.taken }

// digest returns the hash of a body that is wholly in memory, or nil.
func (b *replayBody) digest() []byte {
	if !b.whole {
		return nil
	}
	sum := sha256.Sum256(b.kept)
	return sum[:]
}
