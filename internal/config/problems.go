package config

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Problem is one invalid value of a document: its path, the value, and the
// values allowed there.
type Problem struct {
	Path    string `json:"path"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %q is not allowed: want %s", p.Path, p.Value, p.Allowed)
}

// Problems is an error that lists every invalid value of a document.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// AsProblems returns the Problems in the chain of err, if any.
func AsProblems(err error) (Problems, bool) {
	var problems Problems
	if errors.As(err, &problems) {
		return problems, true
	}
	return nil, false
}

// checker collects problems.
type checker struct {
	problems Problems
}

// add records a problem at the path built from format and args.
func (c *checker) add(value any, allowed string, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		Path:    fmt.Sprintf(format, args...),
		Value:   fmt.Sprint(value),
		Allowed: allowed,
	})
}

// checkRange records a problem unless low <= value <= high.
func (c *checker) checkRange(value, low, high int64, format string, args ...any) {
	if value >= low && value <= high {
		return
	}
	c.add(value, fmt.Sprintf("%d to %d", low, high), format, args...)
}

// checkName records a problem unless value is a valid name.
func (c *checker) checkName(value string, format string, args ...any) {
	if validName(value) {
		return
	}
	allowed := fmt.Sprintf("1 to %d of a-z A-Z 0-9 . _ -", maxNameBytes)
	c.add(value, allowed, format, args...)
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, r := range name {
		if !validNameRune(r) {
			return false
		}
	}
	return true
}

func validNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	default:
		return r == '.' || r == '_' || r == '-'
	}
}

// checkUnique records a problem if value is already in seen, and adds it.
func checkUnique[K comparable](c *checker, seen map[K]bool, value K, format string, args ...any) {
	if seen[value] {
		c.add(value, "a value used once", format, args...)
	}
	seen[value] = true
}
