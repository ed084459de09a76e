package intake

import (
	"io"

	"github.com/pkg/errors"
)

// firstBodyBuffer is the size in bytes of the first buffer of a body.
const firstBodyBuffer = 4 << 10

// ErrNoMemory reports that a body can't be buffered since the VM has no memory for it.
var ErrNoMemory = errors.New("intake: no memory for the body")

// ReadBody reads a body, or its first limit bytes, into a buffer that is accounted as it
// grows, so that a client holds no memory for a length that it only states. length is
// negative if unknown. It returns ErrNoMemory, or the error of the source.
func (c *Conn) ReadBody(source io.Reader, length int64, limit int) ([]byte, error) {
	var buffered []byte
	for {
		if len(buffered) == cap(buffered) {
			if len(buffered) == limit {
				return buffered, nil
			}
			size := min(max(2*cap(buffered), firstBodyBuffer), limit)
			if length >= int64(len(buffered)) {
				// One byte more leaves room to read the end of the body.
				size = int(min(int64(size), length+1))
			}
			if !c.Reserve(size - cap(buffered)) {
				return nil, ErrNoMemory
			}
			buffered = append(make([]byte, 0, size), buffered...)
		}
		n, err := source.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		if err == io.EOF {
			return buffered, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
