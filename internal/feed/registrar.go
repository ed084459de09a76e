package feed

import (
	"context"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/decisions"
	"fuchsiaspar/internal/replica"
)

const (
	// recordTTL is the lease time of the record: how long the store keeps it
	// after the VM has failed.
	recordTTL = 4 * time.Second
	// renewInterval leaves time for a second attempt before the lease expires.
	renewInterval = 1500 * time.Millisecond
	// recordRetryDelay is the wait after a failed store call. It doubles with each
	// further failure up to maxRecordRetryDelay, since every VM makes these calls.
	recordRetryDelay    = 700 * time.Millisecond
	maxRecordRetryDelay = 8 * recordRetryDelay
)

// LeaseStore is the subset of the store client that the Registrar uses.
type LeaseStore interface {
	// Grant creates a lease and returns its ID.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease uint64) error
	// End revokes a lease, which removes the keys attached to it.
	End(ctx context.Context, lease uint64) error
	// Put writes a key attached to a lease.
	Put(ctx context.Context, key string, value []byte, lease uint64) error
}

// RegistrarOptions configures a Registrar.
type RegistrarOptions struct {
	Store LeaseStore
	// Key is the key of the record.
	Key string
	// Encode returns the encoded record.
	Encode func() ([]byte, error)
	// IsListed reports whether the record is in this VM's replica of the store.
	IsListed func() bool
	// Position returns the position of the replica. A lease does not outlast its era:
	// the store may have lost it and given its ID to another VM.
	Position func() replica.Position
	// IsExpired reports whether an error of KeepAlive means that the lease has
	// ended.
	IsExpired func(error) bool
	Log       *decisions.Log
}

// Registrar keeps the record of this VM in the store, under a lease, from Start
// to Stop.
type Registrar struct {
	opts  RegistrarOptions
	group background.Group

	// lease is zero while there is none. It was granted when the replica was at
	// grantedAt.
	lease       uint64
	grantedAt   replica.Position
	lastWritten string
}

// NewRegistrar returns a Registrar.
func NewRegistrar(opts RegistrarOptions) *Registrar { return &Registrar{opts: opts} }

// Start begins to write and renew the record.
func (r *Registrar) Start(ctx context.Context) error {
	if err := r.group.Start(ctx); err != nil {
		return err
	}
	r.group.Go(r.run)
	return nil
}

// Stop ends the renewal and removes the record.
func (r *Registrar) Stop(ctx context.Context) error {
	if err := r.group.Stop(ctx); err != nil {
		return err
	}
	r.dropOldLease()
	if r.lease == 0 {
		return nil
	}
	lease := r.lease
	r.lease = 0
	return r.opts.Store.End(ctx, lease)
}

// dropOldLease forgets the lease if the store has been restored since it was granted. If
// the store still has it, it expires.
func (r *Registrar) dropOldLease() {
	position := r.opts.Position()
	if r.grantedAt.IsZero() {
		// The lease was granted before the replica had been filled.
		r.grantedAt = position
	}
	if r.lease != 0 && position.Era != r.grantedAt.Era {
		r.lease = 0
		r.opts.Log.Event("lease of the VM record is from before a restore", "era", position.Era, "granted_in", r.grantedAt.Era)
	}
}

func (r *Registrar) run(ctx context.Context) {
	retryDelay := recordRetryDelay
	for ctx.Err() == nil {
		wait := renewInterval
		if err := r.refresh(ctx); err != nil {
			r.opts.Log.Event("failed to write the VM record", "cause", err, "retry", retryDelay)
			wait = retryDelay
			retryDelay = min(2*retryDelay, maxRecordRetryDelay)
		} else {
			retryDelay = recordRetryDelay
		}
		background.Sleep(ctx, wait)
	}
}

// refresh renews the lease and writes the record if it is missing or has
// changed. It requests a new lease only if the store has ended or lost the old one:
// after any other failure the old one may still hold the record.
func (r *Registrar) refresh(ctx context.Context) error {
	r.dropOldLease()
	if r.lease != 0 {
		err := r.opts.Store.KeepAlive(ctx, r.lease)
		switch {
		case r.opts.IsExpired(err):
			r.lease = 0
			r.opts.Log.Event("lease of the VM record has ended")
		case err != nil:
			return err
		}
	}
	value, err := r.opts.Encode()
	if err != nil {
		return err
	}
	if r.lease != 0 && r.lastWritten == string(value) && r.opts.IsListed() {
		return nil
	}
	return r.write(ctx, value)
}

func (r *Registrar) write(ctx context.Context, value []byte) error {
	if r.lease == 0 {
		position := r.opts.Position()
		lease, err := r.opts.Store.Grant(ctx, recordTTL)
		if err != nil {
			return err
		}
		r.lease, r.grantedAt = lease, position
	}
	if err := r.opts.Store.Put(ctx, r.opts.Key, value, r.lease); err != nil {
		return err
	}
	r.lastWritten = string(value)
	return nil
}
