package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// DifferenceKind is the way in which a value differs.
type DifferenceKind string

// Kinds of differences.
const (
	Added   DifferenceKind = "added"
	Removed DifferenceKind = "removed"
	Changed DifferenceKind = "changed"
)

// Difference is one value that differs between two documents. Path locates it,
// with list elements by name, as in accounts[kanal].services[lease].weight.
type Difference struct {
	Path string         `json:"path"`
	Kind DifferenceKind `json:"kind"`
	Old  string         `json:"old,omitempty"`
	New  string         `json:"new,omitempty"`
}

// String returns the difference as one line.
func (d Difference) String() string {
	switch d.Kind {
	case Added:
		return fmt.Sprintf("+ %s = %s", d.Path, d.New)
	case Removed:
		return fmt.Sprintf("- %s = %s", d.Path, d.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", d.Path, d.Old, d.New)
	}
}

// Diff returns the differences between two documents, sorted by path. It
// ignores the revision.
func Diff(old, next *Document) []Difference {
	d := new(differ)
	d.compare("lookup", toTree(old.Lookup), toTree(next.Lookup))
	d.compare("zones", toTree(old.Zones), toTree(next.Zones))
	d.compare("slots", toTree(old.Slots), toTree(next.Slots))
	d.compare("links", toTree(old.Links), toTree(next.Links))
	diffItems(d, "templates", old.Templates, next.Templates, templateKey)
	diffItems(d, "accounts", old.Accounts, next.Accounts, accountKey)
	diffItems(d, "drains", old.Drains, next.Drains, drainKey)
	slices.SortStableFunc(d.differences, func(a, b Difference) int { return strings.Compare(a.Path, b.Path) })
	return d.differences
}

type differ struct {
	differences []Difference
}

// diffItems compares two lists by key. It builds trees only for the items that
// differ, which keeps the comparison of large documents cheap.
func diffItems[T any, K ~string](d *differ, section string, old, next []T, keyOf func(*T) K) {
	before := make(map[K]*T, len(old))
	for i := range old {
		before[keyOf(&old[i])] = &old[i]
	}
	for i := range next {
		key := keyOf(&next[i])
		path := fmt.Sprintf("%s[%s]", section, key)
		prev, known := before[key]
		delete(before, key)
		if !known {
			d.compare(path, nil, toTree(next[i]))
			continue
		}
		if !reflect.DeepEqual(*prev, next[i]) {
			d.compare(path, toTree(*prev), toTree(next[i]))
		}
	}
	for key, prev := range before {
		d.compare(fmt.Sprintf("%s[%s]", section, key), toTree(*prev), nil)
	}
}

// toTree returns value as generic JSON types, in which each list of objects is
// replaced by a keyedList.
func toTree(value any) any {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.UseNumber()
	var generic any
	if err := decoder.Decode(&generic); err != nil {
		return err.Error()
	}
	return keyLists(generic)
}

// keyedList is a list of objects, indexed by the field that identifies each.
type keyedList map[string]any

func keyLists(value any) any {
	switch v := value.(type) {
	case map[string]any:
		for k, field := range v {
			v[k] = keyLists(field)
		}
		return v
	case []any:
		return keyElements(v)
	default:
		return v
	}
}

func keyElements(values []any) any {
	byKey := make(keyedList, len(values))
	for _, v := range values {
		object, ok := v.(map[string]any)
		if !ok {
			return fmt.Sprint(values...)
		}
		byKey[elementKey(object)] = keyLists(object)
	}
	return byKey
}

// elementKey returns the value that identifies an object within its list.
func elementKey(object map[string]any) string {
	if from, ok := object["from"]; ok {
		return fmt.Sprintf("%v>%v", from, object["to"])
	}
	for _, field := range []string{"vm", "prefix", "template", "class", "name", "id", "zone"} {
		if v, ok := object[field]; ok {
			return fmt.Sprint(v)
		}
	}
	return fmt.Sprint(object)
}

// compare records the differences between two trees. Nil stands for an absent
// tree.
func (d *differ) compare(path string, old, next any) {
	if reflect.DeepEqual(old, next) {
		return
	}
	oldFields, oldPath, oldOK := children(old)
	nextFields, nextPath, nextOK := children(next)
	if (old != nil && !oldOK) || (next != nil && !nextOK) {
		d.addLeaf(path, old, next)
		return
	}
	childPath := oldPath
	if childPath == nil {
		childPath = nextPath
	}
	for _, name := range union(oldFields, nextFields) {
		d.compare(childPath(path, name), oldFields[name], nextFields[name])
	}
}

func (d *differ) addLeaf(path string, old, next any) {
	switch {
	case old == nil:
		d.differences = append(d.differences, Difference{Path: path, Kind: Added, New: fmt.Sprint(next)})
	case next == nil:
		d.differences = append(d.differences, Difference{Path: path, Kind: Removed, Old: fmt.Sprint(old)})
	default:
		d.differences = append(d.differences, Difference{Path: path, Kind: Changed, Old: fmt.Sprint(old), New: fmt.Sprint(next)})
	}
}

// children returns the fields of an object or list, and the function that
// builds the path of a child. It returns false for a scalar value.
func children(value any) (map[string]any, func(path, name string) string, bool) {
	switch v := value.(type) {
	case map[string]any:
		return v, fieldPath, true
	case keyedList:
		return v, elementPath, true
	default:
		return nil, nil, false
	}
}

func fieldPath(path, name string) string   { return path + "." + name }
func elementPath(path, name string) string { return path + "[" + name + "]" }

func union(a, b map[string]any) []string {
	names := make([]string, 0, len(a)+len(b))
	for name := range a {
		names = append(names, name)
	}
	for name := range b {
		if _, both := a[name]; !both {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
