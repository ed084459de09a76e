package config

import "sort"

// matchOrder returns a copy of classes sorted such that the first match is the
// most specific one: longer prefixes first and, for equal lengths, classes with
// a method first.
func matchOrder(classes []Class) []Class {
	ordered := append([]Class(nil), classes...)
	sort.SliceStable(ordered, func(i, j int) bool {
		a, b := ordered[i], ordered[j]
		if len(a.PathPrefix) != len(b.PathPrefix) {
			return len(a.PathPrefix) > len(b.PathPrefix)
		}
		return a.Method != "" && b.Method == ""
	})
	return ordered
}
