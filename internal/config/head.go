package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

// Store keys and key prefixes.
const (
	headKey       = "config/head"
	objectPrefix  = "config/obj/"
	historyPrefix = "config/rev/"
)

const (
	// maxRecentCommits bounds the commits listed in the head. The list serves
	// to detect conflicts and repeated changes and to resolve commits whose
	// reply was lost.
	maxRecentCommits = 512
	// maxRecentNames bounds the total number of keys and excluded entry VMs in
	// the listed commits, which keeps the head below platform.MaxValueBytes.
	maxRecentNames = 4096
	// maxRevisions is the number of revisions whose heads the store keeps.
	maxRevisions = 256
	// maxCommitKeys bounds the keys listed for one commit. A commit with more
	// keys lists allKeys instead.
	maxCommitKeys = 256
)

// allKeys stands for every key in the key list of a commit.
const allKeys Key = "*"

// Commit describes a committed change.
type Commit struct {
	Revision model.Revision `json:"revision"`
	ChangeID ChangeID       `json:"change_id"`
	Operator string         `json:"operator"`
	// Time is the wall clock of the committing VM. It is informational only.
	Time time.Time `json:"time"`
	Keys []Key     `json:"keys"`
	// Excluded lists the entry VMs that did not acknowledge the change because
	// the operator excluded them or they were dead.
	Excluded []model.VMID `json:"excluded,omitempty"`
}

// edits reports whether the commit edited key.
func (c Commit) edits(key Key) bool {
	return slices.Contains(c.Keys, key) || slices.Contains(c.Keys, allKeys)
}

// Head describes a revision. The store holds it as an object; the head key
// points to it.
type Head struct {
	Commit
	Manifest []ManifestEntry `json:"manifest"`
	// Recent lists the latest commits, newest first, including this one.
	Recent []Commit `json:"recent"`
}

// find returns the commit of a change if it is one of the recent commits.
func (h *Head) find(id ChangeID) (Commit, bool) {
	for _, c := range h.Recent {
		if c.ChangeID == id {
			return c, true
		}
	}
	return Commit{}, false
}

// next returns the head that follows h with the given commit. A nil h is the
// head of an empty store.
func (h *Head) next(commit Commit, manifest []ManifestEntry) *Head {
	if len(commit.Keys) > maxCommitKeys {
		commit.Keys = []Key{allKeys}
	}
	recent := []Commit{commit}
	if h != nil {
		recent = append(recent, h.Recent...)
	}
	return &Head{Commit: commit, Manifest: manifest, Recent: trimRecent(recent)}
}

// trimRecent returns the newest commits that fit into a head.
func trimRecent(recent []Commit) []Commit {
	names := 0
	for i, c := range recent {
		names += len(c.Keys) + len(c.Excluded)
		if i == maxRecentCommits || names > maxRecentNames {
			return recent[:i]
		}
	}
	return recent
}

// oldestRecent returns the lowest revision of the recent commits.
func (h *Head) oldestRecent() model.Revision {
	return h.Recent[len(h.Recent)-1].Revision
}

// conflict returns the newest commit after base that edits one of keys, or nil.
// A base older than the recent commits conflicts with any change.
func (h *Head) conflict(base model.Revision, keys []Key) *ConflictError {
	if h == nil || base == 0 || base >= h.Revision {
		return nil
	}
	for _, c := range h.Recent {
		if c.Revision <= base {
			return nil
		}
		for _, key := range keys {
			if c.edits(key) {
				return &ConflictError{Key: key, Base: base, Other: c}
			}
		}
	}
	if h.oldestRecent() > base+1 {
		return &ConflictError{Key: allKeys, Base: base, Other: h.Recent[len(h.Recent)-1]}
	}
	return nil
}

// ConflictError is returned when another change edited the same part of the
// document after the base revision of a change.
type ConflictError struct {
	// Key is the part that both changes edited, or "*" if the base is too old
	// to tell.
	Key   Key
	Base  model.Revision
	Other Commit
}

// Error names the other change and how to proceed.
func (e *ConflictError) Error() string {
	if e.Key == allKeys {
		return fmt.Sprintf("base revision %d is too old to tell conflicts from: show the configuration in force, make the change again on it", e.Base)
	}
	return fmt.Sprintf("%s was edited after revision %d by change %s of %s in revision %d: show the configuration in force, make the change again on it",
		e.Key, e.Base, e.Other.ChangeID, e.Other.Operator, e.Other.Revision)
}

func encodeHead(h *Head) ([]byte, error) {
	data, err := json.Marshal(h)
	return data, errors.Wrap(err, "encode head")
}

func decodeHead(data []byte) (*Head, error) {
	h := new(Head)
	if err := json.Unmarshal(data, h); err != nil {
		return nil, errors.Wrap(ErrBadObject, err.Error())
	}
	if h.Revision == 0 {
		return nil, errors.Wrap(ErrBadObject, "head without revision")
	}
	return h, nil
}

// headPointer is the value of the head key and of the key of each revision. It
// is kept small because every zone reads the head key once per second.
type headPointer struct {
	Revision model.Revision `json:"revision"`
	ChangeID ChangeID       `json:"change_id"`
	Operator string         `json:"operator"`
	Time     time.Time      `json:"time"`
	// Object is the hash of the object that holds the head.
	Object Hash `json:"object"`
}

// pointsTo reports whether h is the head that the pointer refers to.
func (p headPointer) pointsTo(h *Head) bool {
	return p.Revision == h.Revision && p.ChangeID == h.ChangeID
}

func encodePointer(h *Head, object Hash) ([]byte, error) {
	data, err := json.Marshal(headPointer{
		Revision: h.Revision,
		ChangeID: h.ChangeID,
		Operator: h.Operator,
		Time:     h.Time,
		Object:   object,
	})
	return data, errors.Wrap(err, "encode pointer to head")
}

func decodePointer(data []byte) (headPointer, error) {
	var p headPointer
	if err := json.Unmarshal(data, &p); err != nil {
		return p, errors.Wrap(ErrBadObject, err.Error())
	}
	if p.Revision == 0 || p.Object == "" {
		return p, errors.Wrap(ErrBadObject, "pointer to no head")
	}
	return p, nil
}

func historyKey(r model.Revision) string {
	return fmt.Sprintf("%s%020d", historyPrefix, r)
}

func objectKey(h Hash) string { return objectPrefix + string(h) }
