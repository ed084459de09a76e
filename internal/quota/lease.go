package quota

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/platform"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// lease is one VM's side of a lease in the store. It is used by one goroutine.
type lease struct {
	store platform.Store
	key   string
	now   func() time.Time
	// id is zero without a lease.
	id platform.LeaseID
	// rec is the record that was written under the lease, perhaps unconfirmed.
	written leaseRecord
	// confirmed reports that the record was seen in the store.
	confirmed bool
	// until is when this VM stops to act as the holder.
	expires time.Time
}

// held reports whether this VM holds the lease.
func (l *lease) held() bool { return l.confirmed && l.now().Before(l.expires) }

// lapsed reports, once, that a held lease has come to its end unnoticed, as
// after a pause of the process.
func (l *lease) detectLapse() bool {
	if !l.confirmed || l.held() {
		return false
	}
	l.reset()
	return true
}

// read returns the record in the store, or errNoLease.
func (l *lease) read(ctx context.Context) (leaseRecord, error) {
	entry, err := l.store.Get(ctx, l.key)
	if err != nil {
		return leaseRecord{}, fromStoreError(err)
	}
	return decodeRecord(entry.Value)
}

// take creates a lease and writes rec under it. A lost answer leaves the
// record unconfirmed.
func (l *lease) acquire(ctx context.Context, rec leaseRecord) error {
	value, err := cbor.Marshal(rec)
	if err != nil {
		return errors.WithMessage(errBadRecord, err.Error())
	}
	sent := l.now()
	id, err := l.store.Grant(ctx, leaseTTL)
	if err != nil {
		return fromStoreError(err)
	}
	l.id, l.written, l.confirmed = id, rec, false
	l.expires = sent.Add(leaseTTL - leaseMargin)
	if _, err = l.store.Put(ctx, l.key, value, 0, id); err != nil {
		return fromStoreError(err)
	}
	if !l.confirmHolder(rec) {
		return errLeaseLapsed
	}
	return nil
}

// confirm reports whether found is the record of this VM's live lease, and
// makes it the holder if so.
func (l *lease) confirmHolder(found leaseRecord) bool {
	if l.id == 0 || found != l.written || !l.now().Before(l.expires) {
		return false
	}
	l.confirmed = true
	return true
}

// renew keeps the lease alive. After errLeaseLapsed it is no longer held.
func (l *lease) renew(ctx context.Context) error {
	sent := l.now()
	err := fromStoreError(l.store.KeepAlive(ctx, l.id))
	if errors.Is(err, errNoLease) {
		l.reset()
		return errLeaseLapsed
	}
	if !l.held() {
		l.reset()
		return errLeaseLapsed
	}
	if err != nil {
		return err
	}
	l.expires = sent.Add(leaseTTL - leaseMargin)
	return nil
}

// release ends the lease in the store.
func (l *lease) release(ctx context.Context) error {
	id := l.id
	l.reset()
	return fromStoreError(l.store.Revoke(ctx, id))
}

func (l *lease) reset() {
	l.id = 0
	l.confirmed = false
}

// rankOf returns how long a VM waits before it takes a free lease, and whether
// it watches the lender: the VMs of the hosting region come first, each set in
// an order that differs by lender.
func acquireDelayOf(self model.VMID, id lenderID, d *deployment) (time.Duration, bool) {
	host := d.hostRegion(id)
	if position := slices.Index(sortByHash(d.vmsByRegion[host], id), self); position >= 0 {
		return min(time.Duration(position)*delayPerPosition, maxPositionDelay), position < numWatchers
	}
	var others []model.VMID
	for region, vms := range d.vmsByRegion {
		if region != host {
			others = append(others, vms...)
		}
	}
	position := max(slices.Index(sortByHash(others, id), self), 0)
	return otherRegionDelay + min(time.Duration(position)*delayPerPosition, maxPositionDelay), false
}

// byHash orders VMs by a hash of their name and the lender.
func sortByHash(vms []model.VMID, id lenderID) []model.VMID {
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(a, b model.VMID) int {
		return cmp.Or(
			cmp.Compare(rendezvousHash(a, id), rendezvousHash(b, id)),
			cmp.Compare(a, b),
		)
	})
	return sorted
}

func rendezvousHash(vm model.VMID, id lenderID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id.key()))
	h.Write([]byte{0})
	h.Write([]byte(vm))
	return h.Sum64()
}
