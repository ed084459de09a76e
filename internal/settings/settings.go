// Package settings loads and validates the static settings of a fuchsiaspard
// process. They are fixed while the process runs. Package config holds the
// configuration that operators change at run time.
package settings

import (
	"bytes"
	"os"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Settings holds the static settings of one process.
type Settings struct {
	VM       VM       `toml:"vm"`
	Platform Platform `toml:"platform"`
	Seeds    []Seed   `toml:"seeds"`
	Limits   Limits   `toml:"limits"`
	Log      Log      `toml:"log"`
}

// VM identifies the entry VM on which the process runs.
type VM struct {
	Name   model.VMID   `toml:"name"`
	Zone   model.Zone   `toml:"zone"`
	Region model.Region `toml:"region"`
	// Listen is the IP:port that the process binds.
	Listen string `toml:"listen"`
	// Advertise is the IP:port at which others reach the process. It defaults to
	// Listen.
	Advertise string `toml:"advertise"`
}

// Platform holds the location of the platform's services.
type Platform struct {
	// Address is the host:port of the store and the VM list.
	Address string `toml:"address"`
}

// Seed is an entry VM to contact first when joining the others.
type Seed struct {
	VM model.VMID `toml:"vm"`
	// Address is the IP:port of the VM.
	Address string `toml:"address"`
}

// Limits holds the resource limits and timeouts of one process.
type Limits struct {
	// MaxHeaderBytes limits the size of a request's headers.
	MaxHeaderBytes int `toml:"max_header_bytes"`
	// MaxReplayBytes is the size up to which a request body is kept for retries.
	// Requests with larger bodies are sent only once.
	MaxReplayBytes int `toml:"max_replay_bytes"`
	// TicketValidity is the lifetime of a ticket. A planned stop waits for it.
	TicketValidity model.Duration `toml:"ticket_validity"`
	// MaxTickets limits the number of records of non-idempotent requests.
	MaxTickets int `toml:"max_tickets"`
	// MaxKeptAnswerBytes is the size up to which a response is kept, to be returned
	// again when the request is repeated.
	MaxKeptAnswerBytes int `toml:"max_kept_answer_bytes"`
	// StopTimeout limits the duration of a planned stop.
	StopTimeout model.Duration `toml:"stop_timeout"`
	// MemoryMB is the memory of the VM in MB, of which a part is for what clients make it
	// hold. Zero means unknown.
	MemoryMB int `toml:"memory_mb"`
	// MaxDescriptors is the number of descriptors that the process may open. Zero means as
	// many as the system allows.
	MaxDescriptors int `toml:"max_descriptors"`
	// SilenceAfter is how long a connection may make no progress before it is
	// considered suspect.
	SilenceAfter model.Duration `toml:"silence_after"`
}

// Log configures logging.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	Level string `toml:"level"`
}

// Default values of the limits, in the units of their fields.
const (
	defaultMaxHeaderBytes     = 16 << 10
	defaultMaxReplayBytes     = 64 << 10
	defaultTicketValidity     = 2 * time.Minute
	defaultMaxTickets         = 200_000
	defaultMaxKeptAnswerBytes = 64 << 10
	defaultStopTimeout        = 5 * time.Minute
	defaultSilenceAfter       = time.Second
)

// Defaults returns the default settings. The settings without a default are left
// empty.
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

// Load reads and validates the file at path. If settings are invalid, the error
// is a Problems that lists all of them.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse decodes and validates the contents of a settings file. The file name is
// used only in errors. An error is always a Problems.
func Parse(name string, text []byte) (Settings, error) {
	s := Defaults()
	problems := decode(name, text, &s)
	if len(problems) == 0 {
		problems = s.validate(name)
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
