// Package settings reads and checks the static settings of one fuchsiaspard
// process. They never change while the process runs; what operators change at
// run time is in package config.
package settings

import (
	"bytes"
	"os"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Settings are the static settings of one process.
type Settings struct {
	VM       VM       `toml:"vm"`
	Platform Platform `toml:"platform"`
	Seeds    []Seed   `toml:"seeds"`
	Limits   Limits   `toml:"limits"`
	Log      Log      `toml:"log"`
}

// VM says which entry VM this process is.
type VM struct {
	Name   model.VMID   `toml:"name"`
	Zone   model.Zone   `toml:"zone"`
	Region model.Region `toml:"region"`
	// Listen is the IP:port that the process binds.
	Listen string `toml:"listen"`
	// Advertise is the IP:port that others use; empty means Listen.
	Advertise string `toml:"advertise"`
}

// Platform says where the platform's services are.
type Platform struct {
	// Address is the host:port of the store and the VM list.
	Address string `toml:"address"`
}

// Seed is an entry VM for the first contact.
type Seed struct {
	VM      model.VMID `toml:"vm"`
	Address string     `toml:"address"`
}

// Limits bounds what one process accepts.
type Limits struct {
	// MaxHeaderBytes bounds the header of one request.
	MaxHeaderBytes int `toml:"max_header_bytes"`
	// MaxReplayBytes bounds the request body that is kept for a retry.
	MaxReplayBytes int `toml:"max_replay_bytes"`
	// TicketValidity is how long a ticket may be used.
	TicketValidity model.Duration `toml:"ticket_validity"`
	// MaxTickets bounds the records of non-idempotent requests.
	MaxTickets int `toml:"max_tickets"`
	// MaxKeptAnswerBytes bounds one answer kept for repeats.
	MaxKeptAnswerBytes int `toml:"max_kept_answer_bytes"`
	// StopTimeout bounds a planned stop.
	StopTimeout model.Duration `toml:"stop_timeout"`
	// SilenceAfter is how long a connection may make no progress before it is
	// suspect.
	SilenceAfter model.Duration `toml:"silence_after"`
}

// Log sets what is logged.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
}

// Default values, in the units of their fields.
const (
	defaultMaxHeaderBytes     = 16 << 10
	defaultMaxReplayBytes     = 64 << 10
	defaultTicketValidity     = 2 * time.Minute
	defaultMaxTickets         = 200_000
	defaultMaxKeptAnswerBytes = 64 << 10
	defaultStopTimeout        = 5 * time.Minute
	defaultSilenceAfter       = time.Second
)

// Defaults returns settings with every default filled in.
func Defaults() Settings {
	return Settings{
		Limits: Limits{
			MaxHeaderBytes:     defaultMaxHeaderBytes,
			MaxReplayBytes:     defaultMaxReplayBytes,
			TicketValidity:     model.Duration(defaultTicketValidity),
			MaxTickets:         defaultMaxTickets,
			MaxKeptAnswerBytes: defaultMaxKeptAnswerBytes,
			StopTimeout:        model.Duration(defaultStopTimeout),
			SilenceAfter:       model.Duration(defaultSilenceAfter),
		},
		Log: Log{Level: "info"},
	}
}

// Load reads and checks the file at path. The error names every problem at
// once as a Problems.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse decodes and checks the text of the file called name.
func Parse(name string, text []byte) (Settings, error) {
	s := Defaults()
	problems := decode(name, text, &s)
	if len(problems) == 0 {
		problems = s.check(name)
	}
	if len(problems) > 0 {
		return Settings{}, problems
	}
	if s.VM.Advertise == "" {
		s.VM.Advertise = s.VM.Listen
	}
	return s, nil
}

func decode(name string, text []byte, s *Settings) Problems {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(s)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return unknownKeys(name, strict)
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		return Problems{decodeProblem(name, bad)}
	}
	return Problems{{File: name, Allowed: err.Error()}}
}
