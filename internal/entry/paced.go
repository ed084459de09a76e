package entry

import (
	"context"
	"io"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/pace"
)

// headBytes is charged for the head of each request or answer that crosses a
// link between regions.
const headCost = 1 << 10

// paced returns src at the pace that the link from one region to another
// allows. The link's ends may be one region, which has no link.
func (s *Server) rateLimited(ctx context.Context, src io.Reader, from, to model.Region, p model.Priority) io.Reader {
	limiter := s.linkLimiter(from, to)
	if limiter == nil {
		return src
	}
	return &rateLimitedReader{ctx: ctx, src: src, limiter: limiter, priority: p, pending: headCost}
}

// linkOpen reports whether this VM may send to a region.
func (s *Server) mayUseLink(to model.Region) bool {
	return to == s.options.Region || s.options.Caps.Open(s.options.Region, to)
}

func (s *Server) linkLimiter(from, to model.Region) *pace.Waiter {
	if from == to {
		return nil
	}
	return s.options.Caps.Waiter(from, to)
}

// pacedReader hands out bytes only after the link granted them.
type rateLimitedReader struct {
	ctx      context.Context
	src      io.Reader
	limiter  *pace.Waiter
	priority model.Priority
	pending  int
}

// Read reads at most one chunk and waits until it may cross the link.
func (r *rateLimitedReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p[:min(len(p), pace.MaxChunk)])
	r.pending += n
	for r.pending > 0 {
		granted, waitErr := r.limiter.Wait(r.ctx, r.priority, r.pending)
		if waitErr != nil {
			return 0, waitErr
		}
		r.pending -= granted
	}
	return n, err
}
