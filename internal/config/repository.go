package config

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/platform"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Timeouts and limits of store calls.
const (
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
	// initialBackoff is the mean wait before the first retry of a failed call.
	// It doubles with each retry up to maxBackoff.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	// maxParallelObjects bounds the concurrent reads or writes of objects.
	maxParallelObjects = 4
)

var (
	// ErrStoreUnavailable is returned when the store does not respond. Nothing
	// was changed.
	ErrStoreUnavailable = errors.New("config: the store does not answer: nothing was changed, try again when it is back")
	// ErrNoRevision is returned for a revision that the store does not keep.
	ErrNoRevision = errors.New("config: the store keeps no such revision")
	// errHeadMoved is returned when another change was committed first.
	errHeadMoved = errors.New("config: the head moved")
	// errTooManyAcks is returned while maxOpenAcks acknowledgements are open.
	errTooManyAcks = errors.New("config: too many changes in progress")
	// errUnresolved is returned for a write of the head whose outcome is
	// unknown.
	errUnresolved = errors.New("config: outcome of the commit is not known")
)

// jitter generates random waits and IDs. It is safe for concurrent use.
type jitter struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// duration returns a random duration between 0.5 and 1.5 times mean.
func (j *jitter) duration(mean time.Duration) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return mean/2 + time.Duration(j.rand.Int63n(int64(mean)))
}

func (j *jitter) uint64() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.rand.Uint64()
}

func (j *jitter) changeID() ChangeID {
	j.mu.Lock()
	defer j.mu.Unlock()
	return NewChangeID(j.rand)
}

// sleep waits for a random duration around mean. It returns false if ctx is
// done first.
func (j *jitter) sleep(ctx context.Context, mean time.Duration) bool {
	timer := time.NewTimer(j.duration(mean))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// repository reads and writes revisions in the store.
type repository struct {
	store  platform.Store
	jitter *jitter
}

// storedHead is a head and its location in the store. For an empty store, Head
// is nil and version zero.
type storedHead struct {
	*Head
	// object is the hash of the object that holds the head.
	object Hash
	// version is the store's version of the head key, or of the revision's key
	// for a head from the history.
	version uint64
}

// headRevision returns the revision of the head, or zero for an empty store.
func (h storedHead) headRevision() model.Revision {
	if h.Head == nil {
		return 0
	}
	return h.Revision
}

// readHead reads the head, without retries. If the pointer refers to the cached
// head, it returns that one without reading the object.
func (r *repository) readHead(ctx context.Context, cached *Head) (storedHead, error) {
	entry, err := r.getHead(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		return storedHead{}, nil
	}
	if err != nil {
		return storedHead{}, storeError(err)
	}
	p, err := decodePointer(entry.Value)
	if err != nil {
		return storedHead{}, err
	}
	if cached != nil && p.pointsTo(cached) {
		return storedHead{Head: cached, object: p.Object, version: entry.Version}, nil
	}
	head, err := r.loadHead(ctx, p)
	return storedHead{Head: head, object: p.Object, version: entry.Version}, err
}

func (r *repository) getHead(ctx context.Context) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return r.store.Get(ctx, headKey)
}

// loadHead reads the head to which a pointer refers.
func (r *repository) loadHead(ctx context.Context, p headPointer) (*Head, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	data, err := r.readObject(ctx, p.Object)
	if err != nil {
		return nil, err
	}
	if hashOf(data) != p.Object {
		return nil, errors.Wrapf(ErrBadObject, "head of revision %d is damaged", p.Revision)
	}
	return decodeHead(data)
}

// loadObjects returns the objects of a manifest, reading from the store those
// that local does not return.
func (r *repository) loadObjects(ctx context.Context, manifest []ManifestEntry, local func(Hash) []byte) (*objects, error) {
	out := &objects{manifest: manifest, data: make(map[Hash][]byte, len(manifest))}
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelObjects)
	for _, entry := range manifest {
		if data := local(entry.Hash); data != nil {
			mu.Lock()
			out.data[entry.Hash] = data
			mu.Unlock()
			continue
		}
		group.Go(func() error {
			data, err := r.readObject(ctx, entry.Hash)
			mu.Lock()
			defer mu.Unlock()
			out.data[entry.Hash] = data
			return err
		})
	}
	return out, group.Wait()
}

func (r *repository) readObject(ctx context.Context, hash Hash) ([]byte, error) {
	var data []byte
	err := r.retry(ctx, func(ctx context.Context) error {
		entry, err := r.store.Get(ctx, objectKey(hash))
		data = entry.Value
		return err
	})
	if errors.Is(err, platform.ErrNotFound) {
		return nil, errors.Wrapf(ErrBadObject, "object %s is missing", hash)
	}
	return data, err
}

// saveObjects writes the objects that are not in base. An object that is
// already stored is rewritten, so that the change of its version tells the
// garbage collection that it is in use.
func (r *repository) saveObjects(ctx context.Context, o, base *objects) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelObjects)
	for hash, data := range o.data {
		if base != nil && base.data[hash] != nil {
			continue
		}
		group.Go(func() error { return r.saveObject(ctx, hash, data) })
	}
	return group.Wait()
}

func (r *repository) saveObject(ctx context.Context, hash Hash, data []byte) error {
	version := uint64(0)
	return r.retry(ctx, func(ctx context.Context) error {
		_, err := r.store.Put(ctx, objectKey(hash), data, version, 0)
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
		entry, err := r.store.Get(ctx, objectKey(hash))
		if errors.Is(err, platform.ErrNotFound) {
			version = 0
			return platform.ErrUnavailable
		}
		if err != nil {
			return err
		}
		version = entry.Version
		_, err = r.store.Put(ctx, objectKey(hash), data, version, 0)
		if errors.Is(err, platform.ErrConflict) {
			return nil // another proposer has just written the same content
		}
		return err
	})
}

// saveHistory writes the pointer to a head under the key of its revision,
// unless the key exists.
func (r *repository) saveHistory(ctx context.Context, h storedHead) error {
	data, err := encodePointer(h.Head, h.object)
	if err != nil {
		return err
	}
	return r.retry(ctx, func(ctx context.Context) error {
		_, err := r.store.Put(ctx, historyKey(h.Revision), data, 0, 0)
		if errors.Is(err, platform.ErrConflict) {
			return nil
		}
		return err
	})
}

// commit writes next as an object and then replaces the head described by
// expect with a pointer to it. If a reply is lost, it determines the outcome by
// reading. Nil means committed, errHeadMoved that next never will be, and
// errUnresolved that ctx was done before the outcome was known.
func (r *repository) commit(ctx context.Context, next *Head, expect storedHead) error {
	object, err := encodeHead(next)
	if err != nil {
		return err
	}
	if err := r.saveObject(ctx, hashOf(object), object); err != nil {
		return err
	}
	pointer, err := encodePointer(next, hashOf(object))
	if err != nil {
		return err
	}
	err = r.replaceHead(ctx, next, pointer, expect)
	if errors.Is(err, errHeadMoved) {
		r.discardHead(ctx, hashOf(object))
	}
	return err
}

// discardHead deletes the object of a head that will never be committed. A
// failure is harmless.
func (r *repository) discardHead(ctx context.Context, hash Hash) {
	version, err := r.objectVersion(ctx, hash)
	if err == nil && version != 0 {
		_ = r.remove(ctx, objectKey(hash), version)
	}
}

func (r *repository) replaceHead(ctx context.Context, next *Head, pointer []byte, expect storedHead) error {
	sent := false
	wait := initialBackoff
	for {
		err := r.putHead(ctx, pointer, expect.version)
		if err == nil {
			return nil
		}
		sent = sent || errors.Is(err, platform.ErrUnavailable)
		if errors.Is(err, platform.ErrConflict) || sent {
			if known, err := r.commitOutcome(ctx, next, expect); known {
				return err
			}
		}
		if !r.jitter.sleep(ctx, wait) {
			return abandonError(sent)
		}
		wait = min(2*wait, maxBackoff)
	}
}

// abandonError returns the error for a commit that was given up. The outcome is
// unknown if a write was sent whose reply was lost.
func abandonError(sent bool) error {
	if sent {
		return errUnresolved
	}
	return ErrStoreUnavailable
}

func (r *repository) putHead(ctx context.Context, data []byte, expect uint64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := r.store.Put(ctx, headKey, data, expect, 0)
	return err
}

// commitOutcome reads whether next was committed. It returns false while that
// is undecided because the store does not respond or the head is still the
// expected one.
func (r *repository) commitOutcome(ctx context.Context, next *Head, expect storedHead) (bool, error) {
	head, err := r.readHead(ctx, nil)
	if err != nil || head.version == expect.version {
		return false, nil
	}
	if c, ok := head.find(next.ChangeID); ok {
		return true, checkCommit(c, next)
	}
	if head.oldestRecent() <= next.Revision {
		return true, errHeadMoved
	}
	old, err := r.readHistory(ctx, next.Revision)
	if err != nil {
		return false, nil
	}
	return true, checkCommit(old.Commit, next)
}

// checkCommit returns nil if c is the commit of next, else errHeadMoved.
func checkCommit(c Commit, next *Head) error {
	if c.ChangeID == next.ChangeID && c.Revision == next.Revision {
		return nil
	}
	return errHeadMoved
}

// readHistory reads the head of an older revision.
func (r *repository) readHistory(ctx context.Context, revision model.Revision) (storedHead, error) {
	var entry platform.Entry
	err := r.retry(ctx, func(ctx context.Context) error {
		var err error
		entry, err = r.store.Get(ctx, historyKey(revision))
		return err
	})
	if errors.Is(err, platform.ErrNotFound) {
		return storedHead{}, errors.Wrapf(ErrNoRevision, "revision %d", revision)
	}
	if err != nil {
		return storedHead{}, err
	}
	p, err := decodePointer(entry.Value)
	if err != nil {
		return storedHead{}, err
	}
	head, err := r.loadHead(ctx, p)
	return storedHead{Head: head, object: p.Object, version: entry.Version}, err
}

// retry repeats an idempotent call with exponential backoff and jitter while
// the store is unavailable or limits the rate, until ctx is done.
func (r *repository) retry(ctx context.Context, call func(context.Context) error) error {
	wait := initialBackoff
	for {
		err := r.callOnce(ctx, call)
		if !retryable(err) {
			return err
		}
		if !r.jitter.sleep(ctx, wait) {
			return ErrStoreUnavailable
		}
		wait = min(2*wait, maxBackoff)
	}
}

func (r *repository) callOnce(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return call(ctx)
}

func retryable(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrRateLimited)
}

// storeError converts an error of the store.
func storeError(err error) error {
	if retryable(err) {
		return errors.WithStack(ErrStoreUnavailable)
	}
	return errors.Wrap(err, "store")
}
