package config

import (
	"cmp"
	"net/netip"
	"slices"
)

// Apply returns a new document with the edits of change applied to doc and the
// next revision number. It does not modify doc. It returns Problems if the
// change can't be applied or if the resulting document is invalid.
func Apply(doc *Document, change Change) (*Document, error) {
	c := new(checker)
	if len(change.Keys()) == 0 {
		c.add("", "at least one edit", "change")
	}
	next := *doc
	next.Revision = doc.Revision + 1
	applyDeploymentEdits(&next, &change)
	next.Templates = applyItemEdits(c, "templates", doc.Templates, change.Templates, change.DeleteTemplates, templateKey)
	next.Accounts = applyItemEdits(c, "accounts", doc.Accounts, withSortedBlocks(change.Accounts), change.DeleteAccounts, accountKey)
	next.Drains = applyItemEdits(c, "drains", doc.Drains, change.Drains, change.DeleteDrains, drainKey)
	if problems, invalid := AsProblems(Validate(&next)); invalid {
		c.problems = append(c.problems, problems...)
	}
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return &next, nil
}

func applyDeploymentEdits(doc *Document, change *Change) {
	if change.Lookup != nil {
		doc.Lookup = *change.Lookup
	}
	if change.Zones != nil {
		doc.Zones = change.Zones
	}
	if change.Slots != nil {
		doc.Slots = change.Slots
	}
	if change.Links != nil {
		doc.Links = change.Links
	}
}

// applyItemEdits returns items, sorted by key, with upserts added or replaced
// and the items named in deletes removed.
func applyItemEdits[T any, K cmp.Ordered](c *checker, section string, items, upserts []T, deletes []K, key func(*T) K) []T {
	if len(upserts) == 0 && len(deletes) == 0 {
		return items
	}
	seen := make(map[K]bool, len(upserts)+len(deletes))
	for i := range upserts {
		checkUnique(c, seen, key(&upserts[i]), "%s[%v]", section, key(&upserts[i]))
	}
	for _, k := range deletes {
		checkUnique(c, seen, k, "%s[%v]", section, k)
		if !containsKey(items, k, key) {
			c.add(k, "the name of an existing item to delete", "delete_%s", section)
		}
	}
	next := make([]T, 0, len(items)+len(upserts))
	for i := range items {
		if !seen[key(&items[i])] {
			next = append(next, items[i])
		}
	}
	next = append(next, upserts...)
	slices.SortStableFunc(next, func(a, b T) int { return cmp.Compare(key(&a), key(&b)) })
	return next
}

func containsKey[T any, K comparable](items []T, key K, keyOf func(*T) K) bool {
	return slices.ContainsFunc(items, func(item T) bool { return keyOf(&item) == key })
}

// withSortedBlocks returns a copy of accounts with each account's blocks sorted
// by prefix.
func withSortedBlocks(accounts []Account) []Account {
	sorted := slices.Clone(accounts)
	for i := range sorted {
		sorted[i].Blocks = slices.Clone(sorted[i].Blocks)
		slices.SortStableFunc(sorted[i].Blocks, func(a, b Block) int {
			return comparePrefixes(a.Prefix, b.Prefix)
		})
	}
	return sorted
}

func comparePrefixes(a, b netip.Prefix) int {
	if c := a.Addr().Compare(b.Addr()); c != 0 {
		return c
	}
	return cmp.Compare(a.Bits(), b.Bits())
}
