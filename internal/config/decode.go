package config

import (
	"cmp"
	"slices"
	"strings"

	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

// decodeObjects builds the document of a revision from its objects. It returns
// ErrBadObject if an object is missing, does not match its hash or can't be
// decoded, or if the document is invalid.
func decodeObjects(revision model.Revision, o *objects) (*Document, error) {
	doc := &Document{Revision: revision}
	blocks := make(map[model.AccountID][]Block)
	for _, entry := range o.manifest {
		data, ok := o.data[entry.Hash]
		if !ok || hashOf(data) != entry.Hash {
			return nil, errors.Wrapf(ErrBadObject, "object %s is missing or damaged", entry.Name)
		}
		if err := decodeObject(doc, blocks, entry.Name, data); err != nil {
			return nil, errors.Wrapf(ErrBadObject, "object %s: %v", entry.Name, err)
		}
	}
	for i := range doc.Accounts {
		doc.Accounts[i].Blocks = blocks[doc.Accounts[i].ID]
	}
	slices.SortFunc(doc.Accounts, func(a, b Account) int { return cmp.Compare(a.ID, b.ID) })
	if err := Validate(doc); err != nil {
		return nil, errors.Wrap(err, ErrBadObject.Error())
	}
	return doc, nil
}

func decodeObject(doc *Document, blocks map[model.AccountID][]Block, name string, data []byte) error {
	section, _, _ := strings.Cut(name, "/")
	switch section {
	case sectionDeployment:
		return decodeDeployment(doc, data)
	case sectionTemplates:
		return appendRecords(&doc.Templates, data)
	case sectionDrains:
		return appendRecords(&doc.Drains, data)
	case sectionAccounts:
		return appendRecords(&doc.Accounts, data)
	case sectionBlocks:
		return decodeBlocks(blocks, data)
	default:
		return errors.Errorf("unknown section %q", section)
	}
}

func appendRecords[T any](items *[]T, data []byte) error {
	var records []T
	if err := decodeCBOR(data, &records); err != nil {
		return err
	}
	*items = append(*items, records...)
	return nil
}

func decodeDeployment(doc *Document, data []byte) error {
	var records []deployment
	if err := decodeCBOR(data, &records); err != nil {
		return err
	}
	for _, d := range records {
		doc.Lookup = d.Lookup
		doc.Zones = d.Zones
		doc.Slots = d.Slots
		doc.Links = d.Links
	}
	return nil
}

func decodeBlocks(blocks map[model.AccountID][]Block, data []byte) error {
	var runs []blockRun
	if err := decodeCBOR(data, &runs); err != nil {
		return err
	}
	for _, run := range runs {
		blocks[run.Account] = append(blocks[run.Account], run.Blocks...)
	}
	return nil
}
