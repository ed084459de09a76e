package front

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// keptBody is the largest body that is read before a server is chosen. A
// larger one is streamed and sent to one server only.
const keptBody = 256 << 10

type body struct {
	kept   []byte
	stream io.Reader
	length int64
}

// readBody reads the body, or its beginning. It reports whether the request
// was answered.
func (q *request) readBody() bool {
	q.body.length = q.r.ContentLength
	if q.r.Body == nil || q.r.ContentLength == 0 {
		return false
	}
	limit := q.snapshot.Config.Limits.MaxBodyBytes
	if limit > 0 && q.r.ContentLength > limit {
		q.refuse(http.StatusRequestEntityTooLarge, reasonTooLarge)
		return true
	}
	source := io.Reader(q.r.Body)
	if limit > 0 {
		source = http.MaxBytesReader(q.w, q.r.Body, limit)
	}
	kept, err := io.ReadAll(io.LimitReader(source, keptBody))
	if err != nil {
		q.badBody(err)
		return true
	}
	q.body.kept = kept
	if len(kept) == keptBody && int64(len(kept)) != q.body.length {
		q.body.stream = source
		return false
	}
	q.body.length = int64(len(kept))
	return false
}

func (q *request) badBody(err error) {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		q.refuse(http.StatusRequestEntityTooLarge, reasonTooLarge)
		return
	}
	// The client broke off: there is nobody to answer.
	q.logFailed("client broke off", "cause", err)
	panic(http.ErrAbortHandler)
}

func millisHeader(h http.Header, name string) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(h.Get(name), 64)
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}
