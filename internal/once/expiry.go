package once

import (
	"sort"
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// bucketsPerValidity is the number of buckets that cover the validity of a
	// ticket. Records are removed one bucket at a time.
	bucketsPerValidity = 64
	// minBucketWidth is the minimum time that a bucket covers.
	minBucketWidth = time.Millisecond
)

// expiryBucket holds the tickets that expire within one interval of the length
// expiryQueue.width.
type expiryBucket struct {
	// index is the number of the interval: the tickets expire at or after
	// index*width and before (index+1)*width.
	index int64
	// reserved is the number of tickets in the bucket that have a record or may
	// still get one.
	reserved int
	// expired is set once the capacity of unused tickets has been released.
	expired bool
	// issuedByAccount is the number of issued tickets by account.
	issuedByAccount map[model.AccountID]int
	records         []*record
}

// expiryQueue is a queue of buckets in order of expiry. All tickets have the same
// validity, so they are issued in order of expiry.
type expiryQueue struct {
	width     time.Duration
	retention time.Duration
	buckets   []*expiryBucket
}

func newExpiryQueue(validity, retention time.Duration) expiryQueue {
	return expiryQueue{width: max(validity/bucketsPerValidity, minBucketWidth), retention: retention}
}

func (q *expiryQueue) indexOf(expiry time.Duration) int64 { return int64(expiry / q.width) }

func (q *expiryQueue) endOf(bucket *expiryBucket) time.Duration {
	return time.Duration(bucket.index+1) * q.width
}

// reserve reserves capacity for the record of a ticket. Calls must come in order
// of expiry.
func (q *expiryQueue) reserve(expiry time.Duration, account model.AccountID) {
	index := q.indexOf(expiry)
	if n := len(q.buckets); n == 0 || q.buckets[n-1].index < index {
		q.buckets = append(q.buckets, &expiryBucket{index: index, issuedByAccount: make(map[model.AccountID]int)})
	}
	last := q.buckets[len(q.buckets)-1]
	last.reserved++
	last.issuedByAccount[account]++
}

// find returns the bucket of a ticket that this process issued, or nil if the
// bucket has been removed.
func (q *expiryQueue) find(expiry time.Duration) *expiryBucket {
	index := q.indexOf(expiry)
	i := sort.Search(len(q.buckets), func(i int) bool { return q.buckets[i].index >= index })
	if i == len(q.buckets) || q.buckets[i].index != index {
		return nil
	}
	return q.buckets[i]
}

func (q *expiryQueue) contains(expiry time.Duration) bool { return q.find(expiry) != nil }

func (q *expiryQueue) add(expiry time.Duration, rec *record) {
	bucket := q.find(expiry)
	bucket.records = append(bucket.records, rec)
}

// Expire removes the records whose retention has ended. Issue does the same; call
// Expire periodically to free memory while no tickets are issued.
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

// releaseUnused releases the capacity reserved for tickets that expired without a
// record.
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

// storeResult stores the result in the record. The response is stored only if it
// is within MaxAnswerBytes; the oldest responses are discarded to stay within
// MaxKeptBytes.
func (r *Registry) storeResult(rec *record, result Result) {
	size := result.size()
	if result.Complete && size > min(r.opts.MaxAnswerBytes, r.opts.MaxKeptBytes) {
		result.Complete = false
	}
	if !result.Complete {
		rec.result = result.withoutResponse()
		if result.Outcome == model.OutcomeRan {
			rec.result.Reason = model.ReasonAnswerNotKept
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

// discardResponse removes the kept response of a record, but not its outcome.
func (r *Registry) discardResponse(rec *record) {
	if rec.kept == nil {
		return
	}
	r.keptBytes -= rec.result.size()
	r.kept.Remove(rec.kept)
	rec.kept = nil
	rec.result = rec.result.withoutResponse()
	rec.result.Reason = model.ReasonAnswerNotKept
}

// Stats describes the memory use of a Registry.
type Stats struct {
	// Reserved is the number of records plus the number of unexpired tickets without
	// a record.
	Reserved int
	// Records is the number of tickets that have begun or were sealed.
	Records int
	// KeptBytes is the size of the kept responses in bytes.
	KeptBytes int
}

// Stats returns the current memory use.
func (r *Registry) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{Reserved: r.reserved, Records: len(r.records), KeptBytes: r.keptBytes}
}
