package config

import "fuchsiaspar/internal/model"

// version is a revision in all the forms that the service needs.
type version struct {
	// head is nil until the version is committed.
	head     *Head
	doc      *Document
	objects  *objects
	snapshot *Snapshot
}

// revision returns the version's revision, or zero for a nil version.
func (v *version) revision() model.Revision {
	if v == nil {
		return 0
	}
	return v.doc.Revision
}

// document returns the version's document, or an empty one for a nil version.
func (v *version) document() *Document {
	if v == nil {
		return &Document{}
	}
	return v.doc
}

func (v *version) headOrNil() *Head {
	if v == nil {
		return nil
	}
	return v.head
}

func (v *version) objectsOrNil() *objects {
	if v == nil {
		return nil
	}
	return v.objects
}

// prepare builds the version that results from applying change to base.
func prepare(base *version, change Change) (*version, error) {
	doc, err := Apply(base.document(), change)
	if err != nil {
		return nil, err
	}
	encoded, err := encodeObjects(doc, base.objectsOrNil(), change.Keys())
	if err != nil {
		return nil, err
	}
	return &version{doc: doc, objects: encoded}, nil
}

// committed returns a copy of the prepared version v with the head of its
// commit.
func (v *version) committed(base *version, commit Commit) *version {
	out := *v
	out.head = base.headOrNil().next(commit, v.objects.manifest)
	return &out
}

// digest returns a hash of the manifest. It is the same on every entry VM that
// built the same document.
func (o *objects) digest() Hash {
	var all []byte
	for _, e := range o.manifest {
		all = append(all, e.Name...)
		all = append(all, e.Hash...)
	}
	return hashOf(all)
}
