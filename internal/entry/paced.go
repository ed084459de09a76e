package entry

import (
	"context"
	"io"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/pace"
)

// headBytes is charged for the head of each request or answer that crosses a
// link between regions.
const headBytes = 1 << 10

// paced returns src at the pace that the link from one region to another
// allows. The link's ends may be one region, which has no link.
func (s *Server) paced(ctx context.Context, src io.Reader, from, to model.Region, p model.Priority) io.Reader {
	waiter := s.waiter(from, to)
	if waiter == nil {
		return src
	}
	return &pacedReader{ctx: ctx, src: src, waiter: waiter, priority: p, owed: headBytes}
}

// linkOpen reports whether this VM may send to a region.
func (s *Server) linkOpen(to model.Region) bool {
	return to == s.options.Region || s.options.Caps.Open(s.options.Region, to)
}

func (s *Server) waiter(from, to model.Region) *pace.Waiter {
	if from == to {
		return nil
	}
	return s.options.Caps.Waiter(from, to)
}

// pacedReader hands out bytes only after the link granted them.
type pacedReader struct {
	ctx      context.Context
	src      io.Reader
	waiter   *pace.Waiter
	priority model.Priority
	owed     int
}

// Read reads at most one chunk and waits until it may cross the link.
func (r *pacedReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p[:min(len(p), pace.MaxChunk)])
	r.owed += n
	for r.owed > 0 {
		granted, werr := r.waiter.Wait(r.ctx, r.priority, r.owed)
		if werr != nil {
			return 0, werr
		}
		r.owed -= granted
	}
	return n, err
}
