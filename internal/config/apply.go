package config

import (
	"cmp"
	"net/netip"
	"slices"
)

// Apply returns the document that follows doc when change is made, with the
// next revision. It leaves doc as it is. A change that can't be made, or whose
// outcome is invalid, is refused with Problems.
func Apply(doc *Document, change Change) (*Document, error) {
	c := new(checker)
	if len(change.Keys()) == 0 {
		c.add("", "at least one edit", "change")
	}
	next := *doc
	next.Revision = doc.Revision + 1
	setWhole(&next, &change)
	next.Templates = edit(c, "templates", doc.Templates, change.Templates, change.DeleteTemplates, templateName)
	next.Accounts = edit(c, "accounts", doc.Accounts, sortedBlocks(change.Accounts), change.DeleteAccounts, accountID)
	next.Drains = edit(c, "drains", doc.Drains, change.Drains, change.DeleteDrains, drainID)
	if problems, invalid := AsProblems(Validate(&next)); invalid {
		c.problems = append(c.problems, problems...)
	}
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return &next, nil
}

func setWhole(doc *Document, change *Change) {
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

// edit returns items with those of put added or replaced and those named in
// remove taken out, sorted by name.
func edit[T any, K cmp.Ordered](c *checker, section string, items, put []T, remove []K, name func(*T) K) []T {
	if len(put) == 0 && len(remove) == 0 {
		return items
	}
	edited := make(map[K]bool, len(put)+len(remove))
	for i := range put {
		unique(c, edited, name(&put[i]), "%s[%v]", section, name(&put[i]))
	}
	for _, k := range remove {
		unique(c, edited, k, "%s[%v]", section, k)
		if !holds(items, k, name) {
			c.add(k, "the name of an existing item to delete", "delete_%s", section)
		}
	}
	next := make([]T, 0, len(items)+len(put))
	for i := range items {
		if !edited[name(&items[i])] {
			next = append(next, items[i])
		}
	}
	next = append(next, put...)
	slices.SortStableFunc(next, func(a, b T) int { return cmp.Compare(name(&a), name(&b)) })
	return next
}

func holds[T any, K comparable](items []T, wanted K, name func(*T) K) bool {
	return slices.ContainsFunc(items, func(item T) bool { return name(&item) == wanted })
}

// sortedBlocks returns accounts whose blocks are in the order of prefixes.
func sortedBlocks(accounts []Account) []Account {
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
