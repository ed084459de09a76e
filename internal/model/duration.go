package model

import (
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that is encoded in TOML and JSON as text such as
// "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats d in the syntax of time.ParseDuration.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText encodes d in the syntax of time.ParseDuration. It never fails.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes text in the syntax of time.ParseDuration, such as
// "1m30s", and returns an error for any other text.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration such as 250ms or 3s", text)
	}
	*d = Duration(v)
	return nil
}
