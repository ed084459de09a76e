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

// lease is the client side of a lease in the store. It is not safe for
// concurrent use.
type lease struct {
	store platform.Store
	key   string
	now   func() time.Time
	// id is 0 without a lease.
	id platform.LeaseID
	// written is the record sent to the store with the lease. If the reply was
	// lost, it may not have been stored.
	written leaseRecord
	// confirmed is set once the record is known to be in the store.
	confirmed bool
	// expires is when this VM stops acting as the holder, leaseMargin before the
	// lease can expire in the store.
	expires time.Time
}

// held reports whether this VM holds the lease now.
func (l *lease) held() bool { return l.confirmed && l.now().Before(l.expires) }

// detectExpiry reports whether a held lease has expired between two renewals, as
// happens after a pause of the process. It resets the lease, so that each
// expiry is reported once.
func (l *lease) detectExpiry() bool {
	if !l.confirmed || l.held() {
		return false
	}
	l.reset()
	return true
}

// read returns the record in the store, or errNoLease if there is none.
func (l *lease) read(ctx context.Context) (leaseRecord, error) {
	entry, err := l.store.Get(ctx, l.key)
	if err != nil {
		return leaseRecord{}, fromStoreError(err)
	}
	return decodeRecord(entry.Value)
}

// acquire creates a lease and writes rec with it, if the key is free. If the
// reply to the write is lost, confirmHolder can still confirm the record later.
func (l *lease) acquire(ctx context.Context, rec leaseRecord) error {
	value, err := cbor.Marshal(rec)
	if err != nil {
		return errors.WithMessage(errInvalidRecord, err.Error())
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
		return errLeaseExpired
	}
	return nil
}

// confirmHolder reports whether found is the record that this VM wrote with its
// current lease, and if so marks the lease as held.
func (l *lease) confirmHolder(found leaseRecord) bool {
	if l.id == 0 || found != l.written || !l.now().Before(l.expires) {
		return false
	}
	l.confirmed = true
	return true
}

// renew extends the lease. If it returns errLeaseExpired, the lease is no longer
// held.
func (l *lease) renew(ctx context.Context) error {
	sent := l.now()
	err := fromStoreError(l.store.KeepAlive(ctx, l.id))
	if errors.Is(err, errNoLease) {
		l.reset()
		return errLeaseExpired
	}
	if !l.held() {
		l.reset()
		return errLeaseExpired
	}
	if err != nil {
		return err
	}
	l.expires = sent.Add(leaseTTL - leaseMargin)
	return nil
}

// release revokes the lease in the store.
func (l *lease) release(ctx context.Context) error {
	id := l.id
	l.reset()
	return fromStoreError(l.store.Revoke(ctx, id))
}

func (l *lease) reset() {
	l.id = 0
	l.confirmed = false
}

// acquireDelayOf returns how long a VM waits before it acquires a free lease, and
// whether it watches the lender. VMs of the hosting region come first. Within
// each group, the order depends on the lender, which spreads the leases.
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

// sortByHash returns the VMs sorted by a hash of their ID and the lender.
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
