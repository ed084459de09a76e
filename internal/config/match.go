package config

import "sort"

// matchOrder returns classes so that the first match is the best one: longer
// prefixes first, then those that name a method.
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
