package once

import (
	"sort"
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// bucketsPerValidity divides a ticket's validity into the steps in which
	// records are dropped.
	bucketsPerValidity = 64
	// minBucketWidth is the shortest step.
	minBucketWidth = time.Millisecond
)

// bucket holds the tickets that expire within one step.
type expiryBucket struct {
	// number is the step; the bucket's tickets expire before (number+1)*width.
	index int64
	// held counts the tickets of the bucket that have or may get a record.
	reserved    int
	expired  bool
	issuedByAccount  map[model.AccountID]int
	records []*record
}

// buckets is a queue of buckets in order of expiry. Tickets have one validity,
// so they are issued in order of expiry.
type expiryQueue struct {
	width  time.Duration
	retention time.Duration
	buckets  []*expiryBucket
}

func newExpiryQueue(validity, retention time.Duration) expiryQueue {
	return expiryQueue{width: max(validity/bucketsPerValidity, minBucketWidth), retention: retention}
}

func (b *expiryQueue) indexOf(expiry time.Duration) int64 { return int64(expiry / b.width) }

func (b *expiryQueue) endOf(bucket *expiryBucket) time.Duration {
	return time.Duration(bucket.index+1) * b.width
}

// issue sets room aside for the record of a ticket.
func (b *expiryQueue) reserve(expiry time.Duration, account model.AccountID) {
	index := b.indexOf(expiry)
	if n := len(b.buckets); n == 0 || b.buckets[n-1].index < index {
		b.buckets = append(b.buckets, &expiryBucket{index: index, issuedByAccount: make(map[model.AccountID]int)})
	}
	last := b.buckets[len(b.buckets)-1]
	last.reserved++
	last.issuedByAccount[account]++
}

// find returns the bucket of a ticket that this process issued, or nil when the
// bucket has been dropped.
func (b *expiryQueue) find(expiry time.Duration) *expiryBucket {
	index := b.indexOf(expiry)
	i := sort.Search(len(b.buckets), func(i int) bool { return b.buckets[i].index >= index })
	if i == len(b.buckets) || b.buckets[i].index != index {
		return nil
	}
	return b.buckets[i]
}

func (b *expiryQueue) contains(expiry time.Duration) bool { return b.find(expiry) != nil }

func (b *expiryQueue) add(expiry time.Duration, rec *record) {
	bucket := b.find(expiry)
	bucket.records = append(bucket.records, rec)
}

// Expire drops the records that have been kept long enough. Issue does the
// same; call Expire from time to time to free memory without new tickets.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(r.clock.advance(now))
}

func (r *Registry) expire(offset time.Duration) {
	for _, bucket := range r.expiries.buckets {
		if r.expiries.endOf(bucket) > offset {
			break
		}
		r.releaseUnused(bucket)
	}
	for len(r.expiries.buckets) > 0 {
		first := r.expiries.buckets[0]
		if r.expiries.endOf(first)+r.expiries.retention > offset {
			return
		}
		r.removeBucket(first)
		r.expiries.buckets[0] = nil
		r.expiries.buckets = r.expiries.buckets[1:]
	}
}

// lapse gives back the room of tickets that expired without a record.
func (r *Registry) releaseUnused(bucket *expiryBucket) {
	if bucket.expired {
		return
	}
	bucket.expired = true
	r.reserved -= bucket.reserved - len(bucket.records)
	bucket.reserved = len(bucket.records)
	for account, n := range bucket.issuedByAccount {
		r.issuedByAccount[account] -= n
		if r.issuedByAccount[account] == 0 {
			delete(r.issuedByAccount, account)
		}
	}
	bucket.issuedByAccount = nil
}

func (r *Registry) removeBucket(bucket *expiryBucket) {
	r.reserved -= bucket.reserved
	for _, rec := range bucket.records {
		if rec.finished {
			r.removeRecord(rec)
			continue
		}
		rec.pastRetention = true
		r.reserved++
	}
}

func (r *Registry) removeRecord(rec *record) {
	r.discardResponse(rec)
	delete(r.records, rec.id)
}

// keep stores the result in the record, with the answer if there is room.
func (r *Registry) storeResult(rec *record, result Result) {
	size := result.size()
	if result.Complete && size > min(r.opts.MaxAnswerBytes, r.opts.MaxKeptBytes) {
		result.Complete = false
	}
	if !result.Complete {
		rec.result = result.withoutResponse()
		if result.Outcome == model.OutcomeRan {
			rec.result.Reason = model.ReasonAnswerTooBig
		}
		return
	}
	rec.result = result
	rec.kept = r.kept.PushBack(rec)
	r.keptBytes += size
	for r.keptBytes > r.opts.MaxKeptBytes {
		r.discardResponse(r.kept.Front().Value.(*record))
	}
}

// forgetAnswer leaves only the outcome of a record.
func (r *Registry) discardResponse(rec *record) {
	if rec.kept == nil {
		return
	}
	r.keptBytes -= rec.result.size()
	r.kept.Remove(rec.kept)
	rec.kept = nil
	rec.result = rec.result.withoutResponse()
	rec.result.Reason = model.ReasonAnswerTooBig
}

// Stats describes the memory that a registry holds.
type Stats struct {
	// Held counts records and the room set aside for issued tickets.
	Held int
	// Records counts tickets that have begun or were sealed.
	Records int
	// KeptBytes is the size of the kept answers.
	KeptBytes int
}

// Stats returns the current memory figures.
func (r *Registry) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{Held: r.reserved, Records: len(r.records), KeptBytes: r.keptBytes}
}
