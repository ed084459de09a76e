package entry

import (
	"context"
	"io"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/pace"
)

// headCost is the number of bytes charged for the head of each request or response
// that crosses a link between regions.
const headCost = 1 << 10

// rateLimited returns a reader that limits src to the rate of the link between two
// regions. It returns src itself if the regions are equal or the link has no cap.
func (s *Server) rateLimited(ctx context.Context, src io.Reader, from, to model.Region, p model.Priority) io.Reader {
	limiter := s.linkLimiter(from, to)
	if limiter == nil {
		return src
	}
	return &rateLimitedReader{ctx: ctx, src: src, limiter: limiter, priority: p, pending: headCost}
}

// mayUseLink reports whether this VM may send to a region.
func (s *Server) mayUseLink(to model.Region) bool {
	return to == s.options.Region || s.options.Caps.Open(s.options.Region, to)
}

func (s *Server) linkLimiter(from, to model.Region) *pace.Waiter {
	if from == to {
		return nil
	}
	return s.options.Caps.Waiter(from, to)
}

// rateLimitedReader returns bytes only after the rate limiter of the link has granted
// them.
type rateLimitedReader struct {
	ctx      context.Context
	src      io.Reader
	limiter  *pace.Waiter
	priority model.Priority
	pending  int
}

// Read reads at most pace.MaxChunk bytes and waits until they may cross the link.
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
