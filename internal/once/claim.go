package once

import (
	"context"
	"net/http"

	"fuchsiaspar/internal/model"
)

// Fingerprint identifies the request that a ticket is used for. A ticket is valid
// for one request; a different fingerprint with the same ticket is rejected.
type Fingerprint struct {
	Account model.AccountID
	Service model.ServiceName
	Method  string
	Path    string
	// BodyDigest is optional. It is compared only if both fingerprints have it,
	// because a repeat may come without the digest.
	BodyDigest string
}

func (f Fingerprint) matches(other Fingerprint) bool {
	if f.BodyDigest == "" || other.BodyDigest == "" {
		f.BodyDigest, other.BodyDigest = "", ""
	}
	return f == other
}

// Result is the result of the one execution of a request.
type Result struct {
	Outcome model.Outcome
	Reason  model.Reason
	Status  int
	Header  http.Header
	Body    []byte
	// Complete reports whether Status, Header and Body hold the whole response.
	Complete bool
}

func (r Result) withoutResponse() Result {
	return Result{Outcome: r.Outcome, Reason: r.Reason, Status: r.Status}
}

func (r Result) size() int {
	n := len(r.Body)
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// ClaimKind tells the caller of Begin what to do next.
type ClaimKind uint8

// The kinds of claims.
const (
	// ClaimRun makes the caller of Begin responsible for the one execution. The
	// caller must call Finish.
	ClaimRun ClaimKind = iota + 1
	// ClaimJoin means that another caller is executing the request. Call Wait
	// for its result.
	ClaimJoin
	// ClaimFinished means that the request has finished. Result holds the kept
	// response, or only the outcome if the response is not kept.
	ClaimFinished
)

// Claim is the result of a successful Begin.
type Claim struct {
	Kind ClaimKind
	ID   TicketID
	// Result is set for ClaimFinished.
	Result Result

	execution *execution
}

// execution is shared between the caller that executes a request and the callers
// that wait for its result.
type execution struct {
	done chan struct{}
	// result is written once, before done is closed.
	result Result
}

// Done returns a channel that is closed when the execution has finished.
func (c Claim) Done() <-chan struct{} { return c.execution.done }

// Wait blocks until the execution has finished and returns its result, or returns
// the error of ctx.
func (c Claim) Wait(ctx context.Context) (Result, error) {
	select {
	case <-c.execution.done:
		return c.execution.result, nil
	case <-ctx.Done():
		return Result{}, ctx.Err()
	}
}
