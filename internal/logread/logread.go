// Package logread finds the decisions on one request in the logs of entry VMs
// and says what they mean.
package logread

import (
	"bufio"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
)

const (
	// beliefWindow is how long before the end of a request a change of belief
	// may have mattered to it: the longest bound on configuration and drains.
	beliefWindow = 5 * time.Second
	// maxLine bounds a line of a log.
	maxLine = 1 << 20
)

// Line is one line of a log.
type Line struct {
	At      time.Time
	VM      string
	Message string
	// Fields has the other keys of the line in order, as key=value.
	Fields []Field
}

// Field is one key of a line with its value.
type Field struct{ Key, Value string }

// Get returns the value of a key, or nothing.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Story is what logs tell of one request.
type Report struct {
	// Decisions are the lines about the request, in the order of the log.
	Decisions []Line
	// Beliefs are changes in what the same VMs believed shortly before.
	Beliefs []Line
	// Unread counts lines that are not in the format of the log.
	Unread int
}

// Meaning says in a sentence what ended the request, and what to look at.
func (s Report) Explanation() string {
	if len(s.Decisions) == 0 {
		return "no line about this request: it reached another VM, or its line was over the budget of lines (see log lines dropped)"
	}
	last := s.Decisions[len(s.Decisions)-1]
	if meaning, ok := meanings[last.Get("reason")]; ok {
		return meaning
	}
	if meaning, ok := messages[last.Message]; ok {
		return meaning
	}
	return "the last line has no reason that this command knows"
}

// meanings explain the reasons of refusals.
var meanings = map[string]string{
	"no_configuration": "refused, not run: the VM had just started and knew no configuration yet",
	"no_request_id":    "refused, not run: the client sent no request id",
	"no_route":         "refused, not run: no route of the version in force matches host and path; compare version with the operator's",
	"body_too_large":   "refused, not run: the body is over the configured limit",
	"no_servers":       "refused, not run: the service has no usable server; look for server gone, server entry unusable and zone evacuated",
	"all_full":         "refused, not run: every server near the object's place is full, ejected or at its cold rate; look at load and at lines on other requests",
	"yield":            "refused, not run: the route tolerates latency and its server was busy with urgent work; it was told when to come back",
	"no_connection":    "refused, not run: no connection to several servers; look for no connection lines and for a cut zone",
	"timeout":          "gave up at the route's timeout or the client's deadline; compare ms with the timeout and look at load and cold of the server",
	"client_left":      "the client left; the server's work was stopped",
	"may_have_run":     "unknown outcome: the server got the request and its answer was lost; it was not repeated because it must not run twice",
	"body_streamed":    "unknown or refused: a large body was streamed to one server and could not be sent again",
	"attempts_used":    "failed: the route's attempts are used up; each has a line above",
	"repeat_budget":    "failed: the shared budget of repeats was spent; many requests failed at once",
}

// messages explain the lines that end a request without a reason.
var messages = map[string]string{
	"answered":             "answered by the server; if it came late, compare ms with the objective and look at load, rank and cold",
	"answer not delivered": "the server answered and the client could not be reached",
	"client left":          "the client left; the server's work was stopped",
	"client broke off":     "the client broke off while it sent its body",
}

// Read collects the story of a request from a log.
func Read(log io.Reader, request string) (Report, error) {
	var story Report
	var beliefs []Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		switch {
		case !ok:
			story.Unread++
		case line.Get("request") == request:
			story.Decisions = append(story.Decisions, line)
		case line.Get("request") == "" && line.Message != "lookup":
			beliefs = append(beliefs, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return story, errors.Wrap(err, "read log")
	}
	story.Beliefs = near(beliefs, story.Decisions)
	return story, nil
}

// near returns the beliefs of the VMs that decided, from shortly before the
// last decision.
func near(beliefs, decisions []Line) []Line {
	var found []Line
	if len(decisions) == 0 {
		return nil
	}
	last := decisions[len(decisions)-1]
	for _, b := range beliefs {
		before := last.At.Sub(b.At)
		if b.VM == last.VM && before >= 0 && before <= beliefWindow {
			found = append(found, b)
		}
	}
	return found
}

// parse reads one line. What comes before the line's time, as a collector may
// add, is left out.
func parse(text string) (Line, bool) {
	at := strings.Index(text, "time=")
	if at < 0 {
		return Line{}, false
	}
	decoder := logfmt.NewDecoder(strings.NewReader(text[at:]))
	var line Line
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.set(string(decoder.Key()), string(decoder.Value()))
		}
	}
	return line, decoder.Err() == nil && !line.At.IsZero() && line.Message != ""
}

func (l *Line) set(key, value string) {
	switch key {
	case "time":
		// A time that can't be read leaves the line unread.
		l.At, _ = time.Parse(time.RFC3339Nano, value)
	case "msg":
		l.Message = value
	case "vm":
		l.VM = value
	case "level":
	default:
		l.Fields = append(l.Fields, Field{key, value})
	}
}
