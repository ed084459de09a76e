package settings

import (
	"fmt"
	"net"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Problem describes one invalid setting.
type Problem struct {
	File string
	// Line is zero if it is not known.
	Line int
	// Key is the dotted path of the setting, empty if the problem is about the
	// whole file.
	Key   string
	Value string
	// Allowed describes the accepted values. Without a Key it is the whole message.
	Allowed string
}

// String returns the problem as one line without a line break.
func (p Problem) String() string {
	at := p.File
	if p.Line > 0 {
		at = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key == "" {
		return fmt.Sprintf("%s: %s", at, p.Allowed)
	}
	return fmt.Sprintf("%s: %s = %q: want %s", at, p.Key, p.Value, p.Allowed)
}

// Problems lists every invalid setting of a file. It implements error.
type Problems []Problem

// Error returns a heading and one line per problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p)+1)
	lines = append(lines, "invalid settings:")
	for _, problem := range p {
		lines = append(lines, "  "+problem.String())
	}
	return strings.Join(lines, "\n")
}

func unknownKeys(name string, strict *toml.StrictMissingError) Problems {
	var problems Problems
	for _, e := range strict.Errors {
		p := decodeProblem(name, &e)
		p.Value = ""
		p.Allowed = "a known key; this one has no meaning"
		problems = append(problems, p)
	}
	return problems
}

func decodeProblem(name string, e *toml.DecodeError) Problem {
	line, _ := e.Position()
	return Problem{
		File:    name,
		Line:    line,
		Key:     strings.Join(e.Key(), "."),
		Allowed: e.Error(),
	}
}

// Bounds of the settings, in the units of their fields.
const (
	minHeaderBytes     = 1 << 10
	maxHeaderBytes     = 1 << 20
	maxReplayBytes     = 16 << 20
	minTicketValidity  = time.Second
	maxTicketValidity  = time.Hour
	maxTickets         = 10_000_000
	maxKeptAnswerBytes = 1 << 20
	maxMemoryMB        = 1 << 20
	maxMaxDescriptors  = 1 << 20
	minStopTimeout     = time.Second
	maxStopTimeout     = time.Hour
	minSilenceAfter    = 50 * time.Millisecond
	maxSilenceAfter    = time.Minute
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

type validator struct {
	file     string
	problems Problems
}

func (v *validator) add(key, value, allowed string) {
	v.problems = append(v.problems, Problem{File: v.file, Key: key, Value: value, Allowed: allowed})
}

func (v *validator) name(key, value string) {
	if !namePattern.MatchString(value) {
		v.add(key, value, "1 to 63 lower-case letters, digits, dots or hyphens")
	}
}

func (v *validator) address(key, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		v.add(key, value, "IP:port")
		return
	}
	if _, err := netip.ParseAddr(host); err != nil {
		v.add(key, value, "an IP address before the port")
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		v.add(key, value, "a port from 0 to 65535")
	}
}

func (v *validator) count(key string, value, low, high int) {
	if value < low || value > high {
		v.add(key, strconv.Itoa(value), fmt.Sprintf("%d to %d", low, high))
	}
}

func (v *validator) duration(key string, value, low, high time.Duration) {
	if value < low || value > high {
		v.add(key, value.String(), fmt.Sprintf("%s to %s", low, high))
	}
}

func (s *Settings) validate(file string) Problems {
	v := validator{file: file}
	v.name("vm.name", string(s.VM.Name))
	v.name("vm.zone", string(s.VM.Zone))
	v.name("vm.region", string(s.VM.Region))
	v.address("vm.listen", s.VM.Listen)
	if s.VM.Advertise != "" {
		v.address("vm.advertise", s.VM.Advertise)
	}
	v.address("platform.address", s.Platform.Address)
	s.validateSeeds(&v)
	s.Limits.validate(&v)
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		v.add("log.level", s.Log.Level, "debug, info, warn or error")
	}
	return v.problems
}

func (s *Settings) validateSeeds(v *validator) {
	for i, seed := range s.Seeds {
		v.name(fmt.Sprintf("seeds[%d].vm", i), string(seed.VM))
		v.address(fmt.Sprintf("seeds[%d].address", i), seed.Address)
	}
}

func (l *Limits) validate(v *validator) {
	v.count("limits.max_header_bytes", l.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	v.count("limits.max_replay_bytes", l.MaxReplayBytes, 0, maxReplayBytes)
	v.count("limits.max_tickets", l.MaxTickets, 1, maxTickets)
	v.count("limits.max_kept_answer_bytes", l.MaxKeptAnswerBytes, 0, maxKeptAnswerBytes)
	v.count("limits.memory_mb", l.MemoryMB, 0, maxMemoryMB)
	v.count("limits.max_descriptors", l.MaxDescriptors, 0, maxMaxDescriptors)
	v.duration("limits.ticket_validity", l.TicketValidity.Std(), minTicketValidity, maxTicketValidity)
	v.duration("limits.stop_timeout", l.StopTimeout.Std(), minStopTimeout, maxStopTimeout)
	v.duration("limits.silence_after", l.SilenceAfter.Std(), minSilenceAfter, maxSilenceAfter)
}
