package model

import (
	"strings"
	"testing"
)

func TestParseReason(t *testing.T) {
	for text, want := range map[string]Reason{
		"queue_full":            ReasonQueueFull,
		"":                      ReasonNone,
		"of_a_newer_process":    "of_a_newer_process",
		"Queue Full":            ReasonMalformed,
		"x\"} 1":                ReasonMalformed,
		strings.Repeat("a", 41): ReasonMalformed,
	} {
		if got := ParseReason(text); got != want {
			t.Errorf("%q: got %q, want %q", text, got, want)
		}
	}
}
