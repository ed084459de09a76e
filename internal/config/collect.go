package config

import (
	"context"
	"slices"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/platform"

	"github.com/pkg/errors"
)

// Intervals and limits of the garbage collection of old revisions and their
// objects.
const (
	// gcInterval is the mean time between two runs.
	gcInterval = 10 * time.Minute
	// gcGracePeriod is the minimum time between finding an object unreferenced
	// and deleting it. It exceeds attemptTimeout, so an attempt that rewrote
	// the object before the check has been committed or abandoned by the
	// deletion.
	gcGracePeriod = time.Minute
	// gcBatchSize bounds the revisions deleted in one run.
	gcBatchSize = 32
)

// gcLoop deletes revisions beyond the retention limit, with their objects,
// while this entry VM is the collector. Two concurrent collectors are harmless.
func (s *Service) gcLoop(ctx context.Context) {
	for s.jitter.sleep(ctx, gcInterval) {
		if !s.isCollector() {
			continue
		}
		if err := s.collectGarbage(ctx); err != nil {
			s.log.Warn("garbage collection of configuration failed", "err", err)
		}
	}
}

// isCollector reports whether this entry VM runs the garbage collection: it is
// the watcher of the first member's zone.
func (s *Service) isCollector() bool {
	view := s.view()
	if view == nil {
		return false
	}
	for _, m := range view.Members {
		if watcher, ok := zoneWatcher(view, m.Zone); ok {
			return watcher == s.self
		}
	}
	return false
}

// collectGarbage deletes the oldest revisions beyond maxRevisions and the
// objects that only they reference.
func (s *Service) collectGarbage(ctx context.Context) error {
	active := s.activeVersion().revision()
	if active <= maxRevisions {
		return nil
	}
	limit := active - maxRevisions
	expired, err := s.expiredHeads(ctx, limit)
	if err != nil || len(expired) == 0 {
		return err
	}
	versions, err := s.objectVersions(ctx, expired)
	if err != nil {
		return err
	}
	if !s.jitter.sleep(ctx, 2*gcGracePeriod) {
		return ctx.Err()
	}
	referenced, err := s.referencedHashes(ctx, limit)
	if err != nil {
		return err
	}
	return s.deleteUnreferenced(ctx, expired, versions, referenced)
}

// expiredHeads returns the oldest stored heads up to the revision limit, oldest
// first, at most gcBatchSize. Heads are deleted oldest first, so the stored
// revisions are contiguous.
func (s *Service) expiredHeads(ctx context.Context, limit model.Revision) ([]storedHead, error) {
	var heads []storedHead
	for r := limit; r > 0; r-- {
		head, err := s.repo.readHistory(ctx, r)
		if errors.Is(err, ErrNoRevision) {
			break
		}
		if err != nil {
			return nil, err
		}
		heads = append(heads, head)
	}
	slices.Reverse(heads)
	return heads[:min(len(heads), gcBatchSize)], nil
}

// objectVersions returns the store versions of the head objects and of the
// objects in their manifests.
func (s *Service) objectVersions(ctx context.Context, heads []storedHead) (map[Hash]uint64, error) {
	hashes := make(map[Hash]bool)
	for _, head := range heads {
		markReferenced(hashes, head)
	}
	versions := make(map[Hash]uint64, len(hashes))
	for hash := range hashes {
		version, err := s.repo.objectVersion(ctx, hash)
		if err != nil {
			return nil, err
		}
		versions[hash] = version
	}
	return versions, nil
}

// referencedHashes returns the hashes of the head objects and objects of every
// revision after limit, including the latest.
func (s *Service) referencedHashes(ctx context.Context, limit model.Revision) (map[Hash]bool, error) {
	head, err := s.repo.readHead(ctx, nil)
	if err != nil {
		return nil, err
	}
	if head.Head == nil {
		return nil, ErrStoreBehind
	}
	referenced := make(map[Hash]bool)
	markReferenced(referenced, head)
	for r := limit + 1; r < head.Revision; r++ {
		kept, err := s.repo.readHistory(ctx, r)
		if err != nil {
			return nil, err
		}
		markReferenced(referenced, kept)
	}
	return referenced, nil
}

func markReferenced(referenced map[Hash]bool, head storedHead) {
	referenced[head.object] = true
	for _, entry := range head.Manifest {
		referenced[entry.Hash] = true
	}
}

// deleteUnreferenced deletes the objects that are not referenced and were not
// rewritten since versions was read, and then the heads.
func (s *Service) deleteUnreferenced(ctx context.Context, heads []storedHead, versions map[Hash]uint64, referenced map[Hash]bool) error {
	for hash, version := range versions {
		if referenced[hash] || version == 0 {
			continue
		}
		if err := s.repo.remove(ctx, objectKey(hash), version); err != nil {
			return err
		}
	}
	for _, head := range heads {
		if err := s.repo.remove(ctx, historyKey(head.Revision), head.version); err != nil {
			return err
		}
	}
	return nil
}

// objectVersion returns the store's version of an object, or zero if it does
// not exist.
func (r *repository) objectVersion(ctx context.Context, hash Hash) (uint64, error) {
	var version uint64
	err := r.retry(ctx, func(ctx context.Context) error {
		entry, err := r.store.Get(ctx, objectKey(hash))
		version = entry.Version
		return err
	})
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	return version, err
}

// remove deletes a key unless it was written after version.
func (r *repository) remove(ctx context.Context, key string, version uint64) error {
	return r.retry(ctx, func(ctx context.Context) error {
		err := r.store.Delete(ctx, key, version)
		if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
			return nil
		}
		return err
	})
}
