package quota

import (
	"context"

	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/platform"

	"github.com/pkg/errors"
)

// Errors of the lease and of calls to lenders. They never leave the package
// other than in logs and counters.
var (
	errLeaseTaken     = errors.New("quota: another VM holds the lease")
	errLeaseLapsed    = errors.New("quota: lease lapsed")
	errNoLease        = errors.New("quota: no VM holds the lease")
	errStoreRefused   = errors.New("quota: store refused the call")
	errStoreUncertain = errors.New("quota: store did not answer")
	errBadRecord      = errors.New("quota: lease record cannot be decoded")
	errLenderSilent   = errors.New("quota: lender did not answer")
	errLenderGone     = errors.New("quota: no link to the lender")
)

// peerKind is the control message that asks for grants.
const peerKind = peer.KindGrantRequest

// translateStore turns a store's error into one of this package.
func fromStoreError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.ErrConflict):
		return errLeaseTaken
	case errors.Is(err, platform.ErrNotFound):
		return errNoLease
	case errors.Is(err, platform.ErrRateLimited):
		return errStoreRefused
	default:
		return errors.WithMessage(errStoreUncertain, err.Error())
	}
}

// translateCall turns an error of the peer links into one of this package.
func fromCallError(err error) error {
	switch {
	case errors.Is(err, peer.ErrNoLink), errors.Is(err, peer.ErrNoHandler):
		return errLenderGone
	case errors.Is(err, context.DeadlineExceeded):
		return errLenderSilent
	default:
		return errors.WithMessage(errLenderSilent, err.Error())
	}
}

// reasonOf returns the value of the reason tag for an error.
func failureReason(err error) string {
	switch {
	case errors.Is(err, errLeaseTaken):
		return "taken"
	case errors.Is(err, errLeaseLapsed):
		return "lapsed"
	case errors.Is(err, errNoLease):
		return "absent"
	case errors.Is(err, errStoreRefused):
		return "rate_limited"
	case errors.Is(err, errStoreUncertain):
		return "unavailable"
	case errors.Is(err, errBadRecord):
		return "bad_record"
	case errors.Is(err, errLenderGone):
		return "no_link"
	default:
		return "silent"
	}
}
