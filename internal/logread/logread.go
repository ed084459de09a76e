// Package logread finds the log lines about one request in the logs of entry VMs
// and explains how the request ended.
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
	// stateChangeWindow is how long before the last line about a request a change
	// of the VM's state may have affected it: the longest time in which a
	// configuration or a drain must take effect.
	stateChangeWindow = 5 * time.Second
	// maxLineLength is the largest length of a log line, in bytes.
	maxLineLength = 1 << 20
)

// Line is a parsed log line.
type Line struct {
	At      time.Time
	VM      string
	Message string
	// Fields holds the other keys of the line in order, except level.
	Fields []Field
}

// Field is a key of a line and its value.
type Field struct{ Key, Value string }

// Get returns the value of a key of Fields, or an empty string.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Report holds the log lines that concern one request. The names of its fields are
// part of the JSON output of the command line.
type Report struct {
	// Decisions are the lines about the request, in the order of the log.
	Decisions []Line
	// Beliefs are lines about changes of the state of the VM that wrote the last
	// decision (configuration, servers, drains, store), up to 5 s before it.
	Beliefs []Line
	// Unread is the number of lines that could not be parsed.
	Unread int
}

// Explanation returns a sentence that says how the request ended and which other
// lines to check.
func (s Report) Explanation() string {
	if len(s.Decisions) == 0 {
		return "no line about this request: it reached another VM, or its line exceeded the rate limit (see log lines dropped)"
	}
	last := s.Decisions[len(s.Decisions)-1]
	if explanation, ok := reasonExplanations[last.Get("reason")]; ok {
		return explanation
	}
	if explanation, ok := messageExplanations[last.Message]; ok {
		return explanation
	}
	return "the last line has no reason known to this command"
}

// reasonExplanations explains the values of the reason field.
var reasonExplanations = map[string]string{
	"no_configuration": "refused, not run: the VM had just started and had no configuration yet",
	"no_request_id":    "refused, not run: the client sent no request id",
	"no_route":         "refused, not run: no route of the version in force matches host and path; compare version with the operator's",
	"body_too_large":   "refused, not run: the body is over the configured limit",
	"no_servers":       "refused, not run: the service has no usable server; look for server gone, server entry unusable and zone evacuated",
	"all_full":         "refused, not run: every server that may serve the object is full, ejected or at its cold start rate; look at load and at lines on other requests",
	"yield":            "refused, not run: the route tolerates latency and its server was busy with urgent requests; the response says when to retry",
	"no_connection":    "refused, not run: no connection to several servers; look for no connection lines and for an unreachable zone",
	"timeout":          "gave up at the route's timeout or the client's deadline; compare ms with the timeout and look at load and cold of the server",
	"client_left":      "the client disconnected; the server's work was cancelled",
	"may_have_run":     "unknown outcome: the server got the request and its response was lost; it was not retried because it must not run twice",
	"body_streamed":    "unknown or refused: a large body was streamed to one server and could not be resent",
	"attempts_used":    "failed: all attempts of the route were used; each has a line above",
	"account_limit":    "refused, not run: the client account is at its limit over all VMs; tokens is its balance, and heard of vms says which part of the limit this VM and those in contact share",
	"repeat_budget":    "failed: the shared retry budget was used up; many requests failed at once",
}

// messageExplanations explains the messages of lines that end a request without a
// reason.
var messageExplanations = map[string]string{
	"answered":             "answered by the server; if it was late, compare ms with the objective and look at load, rank and cold",
	"answer not delivered": "the server answered, but the response could not be sent to the client",
	"client left":          "the client disconnected; the server's work was cancelled",
	"client broke off":     "the client disconnected while it sent the body",
}

// Read returns the lines of a log that concern a request. It fails if the log
// can't be read or has a line of more than 1 MiB.
func Read(log io.Reader, request string) (Report, error) {
	var report Report
	var changes []Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineLength)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		switch {
		case !ok:
			report.Unread++
		case line.Get("request") == request:
			report.Decisions = append(report.Decisions, line)
		case line.Get("request") == "" && line.Message != "lookup":
			changes = append(changes, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return report, errors.Wrap(err, "read log")
	}
	report.Beliefs = recentChanges(changes, report.Decisions)
	return report, nil
}

// recentChanges returns the changes of the VM that wrote the last decision, up to
// stateChangeWindow before it.
func recentChanges(changes, decisions []Line) []Line {
	var found []Line
	if len(decisions) == 0 {
		return nil
	}
	last := decisions[len(decisions)-1]
	for _, change := range changes {
		before := last.At.Sub(change.At)
		if change.VM == last.VM && before >= 0 && before <= stateChangeWindow {
			found = append(found, change)
		}
	}
	return found
}

// parse parses a line and ignores any prefix before the time key, which a log
// collector may add. It reports false if the line has no valid time or message.
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

// set assigns a key of the line to its field. It ignores the level.
func (l *Line) set(key, value string) {
	switch key {
	case "time":
		// An invalid time leaves At zero, which makes parse reject the line.
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
