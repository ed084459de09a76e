package feed

import (
	"context"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/decisions"
)

const (
	// recordTTL is how long the store keeps the record of a VM that is gone.
	recordTTL = 4 * time.Second
	// renewEvery leaves time for a second try before the record lapses.
	renewEvery = 1500 * time.Millisecond
	// retryRecord is the pause after a failed call.
	retryRecord = 700 * time.Millisecond
)

// Records is the part of the store that keeps the record of this VM.
type Records interface {
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	KeepAlive(ctx context.Context, lease uint64) error
	End(ctx context.Context, lease uint64) error
	Put(ctx context.Context, key string, value []byte, lease uint64) error
}

// Registrar keeps the record of this VM in the store while it serves.
type Registrar struct {
	store Records
	key   string
	// value returns what the record shall say.
	value func() ([]byte, error)
	// listed says whether the record is in this VM's copy of the store.
	listed func() bool
	log    *decisions.Log
	group  background.Group

	lease   uint64
	written string
}

// NewRegistrar returns a Registrar that writes from Start on.
func NewRegistrar(store Records, key string, value func() ([]byte, error), listed func() bool, log *decisions.Log) *Registrar {
	return &Registrar{store: store, key: key, value: value, listed: listed, log: log}
}

// Start begins to write.
func (r *Registrar) Start(ctx context.Context) error {
	if err := r.group.Start(ctx); err != nil {
		return err
	}
	r.group.Go(r.run)
	return nil
}

// Stop removes the record.
func (r *Registrar) Stop(ctx context.Context) error {
	if err := r.group.Stop(ctx); err != nil {
		return err
	}
	if r.lease == 0 {
		return nil
	}
	lease := r.lease
	r.lease = 0
	return r.store.End(ctx, lease)
}

func (r *Registrar) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := renewEvery
		if err := r.step(ctx); err != nil {
			r.log.Event("record of this VM not written", "cause", err)
			wait = retryRecord
		}
		background.Sleep(ctx, wait)
	}
}

// step renews the lease and writes the record where it is missing or has
// changed. A failed renewal is tried once more before the lease is given up.
func (r *Registrar) step(ctx context.Context) error {
	if r.lease != 0 {
		if err := r.store.KeepAlive(ctx, r.lease); err != nil {
			r.lease = 0
			return err
		}
	}
	value, err := r.value()
	if err != nil {
		return err
	}
	if r.lease != 0 && r.written == string(value) && r.listed() {
		return nil
	}
	return r.write(ctx, value)
}

func (r *Registrar) write(ctx context.Context, value []byte) error {
	if r.lease == 0 {
		lease, err := r.store.Grant(ctx, recordTTL)
		if err != nil {
			return err
		}
		r.lease = lease
	}
	if err := r.store.Put(ctx, r.key, value, r.lease); err != nil {
		return err
	}
	r.written = string(value)
	return nil
}
