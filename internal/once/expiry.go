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
type bucket struct {
	// number is the step; the bucket's tickets expire before (number+1)*width.
	number int64
	// held counts the tickets of the bucket that have or may get a record.
	held    int
	lapsed  bool
	issued  map[model.AccountID]int
	records []*record
}

// buckets is a queue of buckets in order of expiry. Tickets have one validity,
// so they are issued in order of expiry.
type buckets struct {
	width  time.Duration
	retain time.Duration
	queue  []*bucket
}

func newBuckets(validity, retain time.Duration) buckets {
	return buckets{width: max(validity/bucketsPerValidity, minBucketWidth), retain: retain}
}

func (b *buckets) number(expiry time.Duration) int64 { return int64(expiry / b.width) }

func (b *buckets) end(bk *bucket) time.Duration {
	return time.Duration(bk.number+1) * b.width
}

// issue sets room aside for the record of a ticket.
func (b *buckets) issue(expiry time.Duration, account model.AccountID) {
	number := b.number(expiry)
	if n := len(b.queue); n == 0 || b.queue[n-1].number < number {
		b.queue = append(b.queue, &bucket{number: number, issued: make(map[model.AccountID]int)})
	}
	last := b.queue[len(b.queue)-1]
	last.held++
	last.issued[account]++
}

// find returns the bucket of a ticket that this process issued, or nil when the
// bucket has been dropped.
func (b *buckets) find(expiry time.Duration) *bucket {
	number := b.number(expiry)
	i := sort.Search(len(b.queue), func(i int) bool { return b.queue[i].number >= number })
	if i == len(b.queue) || b.queue[i].number != number {
		return nil
	}
	return b.queue[i]
}

func (b *buckets) covers(expiry time.Duration) bool { return b.find(expiry) != nil }

func (b *buckets) add(expiry time.Duration, rec *record) {
	bk := b.find(expiry)
	bk.records = append(bk.records, rec)
}

// Expire drops the records that have been kept long enough. Issue does the
// same; call Expire from time to time to free memory without new tickets.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(r.clock.advance(now))
}

func (r *Registry) expire(offset time.Duration) {
	for _, bk := range r.buckets.queue {
		if r.buckets.end(bk) > offset {
			break
		}
		r.lapse(bk)
	}
	for len(r.buckets.queue) > 0 {
		first := r.buckets.queue[0]
		if r.buckets.end(first)+r.buckets.retain > offset {
			return
		}
		r.dropBucket(first)
		r.buckets.queue[0] = nil
		r.buckets.queue = r.buckets.queue[1:]
	}
}

// lapse gives back the room of tickets that expired without a record.
func (r *Registry) lapse(bk *bucket) {
	if bk.lapsed {
		return
	}
	bk.lapsed = true
	r.held -= bk.held - len(bk.records)
	bk.held = len(bk.records)
	for account, n := range bk.issued {
		r.byAccount[account] -= n
		if r.byAccount[account] == 0 {
			delete(r.byAccount, account)
		}
	}
	bk.issued = nil
}

func (r *Registry) dropBucket(bk *bucket) {
	r.held -= bk.held
	for _, rec := range bk.records {
		if rec.finished {
			r.drop(rec)
			continue
		}
		rec.overdue = true
		r.held++
	}
}

func (r *Registry) drop(rec *record) {
	r.forgetAnswer(rec)
	delete(r.records, rec.id)
}

// keep stores the result in the record, with the answer if there is room.
func (r *Registry) keep(rec *record, result Result) {
	size := result.size()
	if result.Kept && size > min(r.opts.MaxAnswerBytes, r.opts.MaxKeptBytes) {
		result.Kept = false
	}
	if !result.Kept {
		rec.result = result.outcomeOnly()
		if result.Outcome == model.OutcomeRan {
			rec.result.Reason = model.ReasonAnswerNotKept
		}
		return
	}
	rec.result = result
	rec.kept = r.kept.PushBack(rec)
	r.keptBytes += size
	for r.keptBytes > r.opts.MaxKeptBytes {
		r.forgetAnswer(r.kept.Front().Value.(*record))
	}
}

// forgetAnswer leaves only the outcome of a record.
func (r *Registry) forgetAnswer(rec *record) {
	if rec.kept == nil {
		return
	}
	r.keptBytes -= rec.result.size()
	r.kept.Remove(rec.kept)
	rec.kept = nil
	rec.result = rec.result.outcomeOnly()
	rec.result.Reason = model.ReasonAnswerNotKept
}

// Stats describes the memory that a registry holds.
type Stats struct {
	// Held counts records and the room set aside for issued tickets.
	Reserved int
	// Records counts tickets that have begun or were sealed.
	Records int
	// KeptBytes is the size of the kept answers.
	KeptBytes int
}

// Stats returns the current memory figures.
func (r *Registry) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{Reserved: r.held, Records: len(r.records), KeptBytes: r.keptBytes}
}
