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

// Problem is one wrong setting.
type Problem struct {
	File  string
	Line  int
	Key   string
	Value string
	// Allowed says what the key accepts.
	Allowed string
}

// String returns the problem as one line.
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

// Problems is every wrong setting of a file. It is an error.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p)+1)
	lines = append(lines, "invalid settings:")
	for _, one := range p {
		lines = append(lines, "  "+one.String())
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

// Bounds of the checked settings.
const (
	minHeaderBytes    = 1 << 10
	maxHeaderBytes    = 1 << 20
	maxReplayBytes    = 16 << 20
	minTicketValidity = time.Second
	maxTicketValidity = time.Hour
	maxTickets        = 10_000_000
	maxKeptBytes      = 1 << 20
	minStopTimeout    = time.Second
	maxStopTimeout    = time.Hour
	minSilenceAfter   = 50 * time.Millisecond
	maxSilenceAfter   = time.Minute
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

type checker struct {
	file     string
	problems Problems
}

func (c *checker) add(key, value, allowed string) {
	c.problems = append(c.problems, Problem{File: c.file, Key: key, Value: value, Allowed: allowed})
}

func (c *checker) name(key, value string) {
	if !namePattern.MatchString(value) {
		c.add(key, value, "1 to 63 lower-case letters, digits, dots or hyphens")
	}
}

func (c *checker) address(key, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		c.add(key, value, "IP:port")
		return
	}
	if _, err := netip.ParseAddr(host); err != nil {
		c.add(key, value, "an IP number before the port")
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		c.add(key, value, "a port from 0 to 65535")
	}
}

func (c *checker) count(key string, value, low, high int) {
	if value < low || value > high {
		c.add(key, strconv.Itoa(value), fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) duration(key string, value, low, high time.Duration) {
	if value < low || value > high {
		c.add(key, value.String(), fmt.Sprintf("%s to %s", low, high))
	}
}

func (s *Settings) check(file string) Problems {
	c := checker{file: file}
	c.name("vm.name", string(s.VM.Name))
	c.name("vm.zone", string(s.VM.Zone))
	c.name("vm.region", string(s.VM.Region))
	c.address("vm.listen", s.VM.Listen)
	if s.VM.Advertise != "" {
		c.address("vm.advertise", s.VM.Advertise)
	}
	c.address("platform.address", s.Platform.Address)
	s.checkSeeds(&c)
	s.Limits.check(&c)
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		c.add("log.level", s.Log.Level, "debug, info, warn or error")
	}
	return c.problems
}

func (s *Settings) checkSeeds(c *checker) {
	for i, seed := range s.Seeds {
		c.name(fmt.Sprintf("seeds[%d].vm", i), string(seed.VM))
		c.address(fmt.Sprintf("seeds[%d].address", i), seed.Address)
	}
}

func (l *Limits) check(c *checker) {
	c.count("limits.max_header_bytes", l.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	c.count("limits.max_replay_bytes", l.MaxReplayBytes, 0, maxReplayBytes)
	c.count("limits.max_tickets", l.MaxTickets, 1, maxTickets)
	c.count("limits.max_kept_answer_bytes", l.MaxKeptAnswerBytes, 0, maxKeptBytes)
	c.duration("limits.ticket_validity", l.TicketValidity.Std(), minTicketValidity, maxTicketValidity)
	c.duration("limits.stop_timeout", l.StopTimeout.Std(), minStopTimeout, maxStopTimeout)
	c.duration("limits.silence_after", l.SilenceAfter.Std(), minSilenceAfter, maxSilenceAfter)
}
