package once

import (
	"context"
	"net/http"

	"fuchsiaspar/internal/model"
)

// Fingerprint describes the request that a ticket is used for. A ticket serves
// one request; another fingerprint under the same ticket is refused.
type Fingerprint struct {
	Account model.AccountID
	Service model.ServiceName
	Method  string
	Path    string
	// BodyDigest is optional. Two fingerprints with one digest between them
	// are compared without it, because a repeat may come without the digest.
	BodyDigest string
}

func (f Fingerprint) matches(other Fingerprint) bool {
	if f.BodyDigest == "" || other.BodyDigest == "" {
		f.BodyDigest, other.BodyDigest = "", ""
	}
	return f == other
}

// Result is the end of a run.
type Result struct {
	Outcome model.Outcome
	Reason  model.Reason
	Status  int
	Header  http.Header
	Body    []byte
	// Kept says that Status, Header and Body hold the whole answer.
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

// ClaimKind says what the caller of Begin has to do.
type ClaimKind uint8

// The kinds of claims.
const (
	// ClaimRun makes the caller of Begin responsible for the one run. It must
	// call Finish.
	ClaimRun ClaimKind = iota + 1
	// ClaimJoin means that the request is running for another caller: wait.
	ClaimJoin
	// ClaimKept means that the request has ended; Result holds the kept answer
	// or only the outcome.
	ClaimFinished
)

// Claim is the successful result of Begin.
type Claim struct {
	Kind ClaimKind
	ID   TicketID
	// Result is set for ClaimKept.
	Result Result

	execution *execution
}

// run is shared between the caller that runs a request and those that wait.
type execution struct {
	done chan struct{}
	// result is written once, before done is closed.
	result Result
}

// Done returns a channel that is closed when the run has ended.
func (c Claim) Done() <-chan struct{} { return c.execution.done }

// Wait returns the result of the run once it has ended, or the error of ctx.
func (c Claim) Wait(ctx context.Context) (Result, error) {
	select {
	case <-c.execution.done:
		return c.execution.result, nil
	case <-ctx.Done():
		return Result{}, ctx.Err()
	}
}
