package quota

import (
	"context"

	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/platform"

	"github.com/pkg/errors"
)

// Errors of leases and of calls to lenders. Outside the package they appear only
// in logs and as tags of metrics.
var (
	errLeaseTaken         = errors.New("quota: lease is held by another VM")
	errLeaseExpired       = errors.New("quota: lease expired")
	errNoLease            = errors.New("quota: lease has no holder")
	errStoreRateLimited   = errors.New("quota: store rate limit exceeded")
	errStoreUnavailable   = errors.New("quota: store unavailable")
	errInvalidRecord      = errors.New("quota: invalid lease record")
	errLenderUnresponsive = errors.New("quota: no response from lender")
	errLenderUnreachable  = errors.New("quota: no connection to lender")
)

// peerKind is the kind of control message that carries a GrantRequest.
const peerKind = peer.KindGrantRequest

// fromStoreError converts an error of the store to one of this package.
func fromStoreError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.ErrConflict):
		return errLeaseTaken
	case errors.Is(err, platform.ErrNotFound):
		return errNoLease
	case errors.Is(err, platform.ErrRateLimited):
		return errStoreRateLimited
	default:
		return errors.WithMessage(errStoreUnavailable, err.Error())
	}
}

// fromCallError converts an error of a call to a peer to one of this package.
func fromCallError(err error) error {
	switch {
	case errors.Is(err, peer.ErrNoLink), errors.Is(err, peer.ErrNoHandler):
		return errLenderUnreachable
	case errors.Is(err, context.DeadlineExceeded):
		return errLenderUnresponsive
	default:
		return errors.WithMessage(errLenderUnresponsive, err.Error())
	}
}

// failureReason returns the value of the reason tag of metrics for an error.
func failureReason(err error) string {
	switch {
	case errors.Is(err, errLeaseTaken):
		return "taken"
	case errors.Is(err, errLeaseExpired):
		return "lapsed"
	case errors.Is(err, errNoLease):
		return "absent"
	case errors.Is(err, errStoreRateLimited):
		return "rate_limited"
	case errors.Is(err, errStoreUnavailable):
		return "unavailable"
	case errors.Is(err, errInvalidRecord):
		return "bad_record"
	case errors.Is(err, errLenderUnreachable):
		return "no_link"
	default:
		return "silent"
	}
}
