package daemon

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"fuchsiaspar/internal/header"
)

// exampleAddress is the entry VM address used in docs/CALLERS.md.
const exampleAddress = "http://127.0.0.1:8080"

var (
	commandBlock = regexp.MustCompile("(?s)```sh\n(curl .*?)\n```")
	argument     = regexp.MustCompile(`"((?:[^"\\]|\\.)*)"|'([^']*)'|(\S+)`)
)

// parseCurl converts a curl command of docs/CALLERS.md into a call, with
// $TICKET replaced by ticket.
func parseCurl(t *testing.T, line, ticket string) call {
	t.Helper()
	c := call{method: "GET", header: map[string]string{}}
	var words []string
	for _, m := range argument.FindAllStringSubmatch(line, -1) {
		word := m[1] + m[2] + m[3]
		words = append(words, strings.ReplaceAll(strings.ReplaceAll(word, `\"`, `"`), "$TICKET", ticket))
	}
	for i := 1; i < len(words); i++ {
		switch words[i] {
		case "-s":
		case "-D":
			i++
		case "-X":
			i++
			c.method = words[i]
		case "-H":
			i++
			name, value, _ := strings.Cut(words[i], ": ")
			c.header[name] = value
		case "-d":
			i++
			c.body = words[i]
		default:
			path, ok := strings.CutPrefix(words[i], exampleAddress)
			if !ok {
				t.Fatalf("%q is not a URL of the example address", words[i])
			}
			c.path = path
		}
	}
	return c
}

// TestCallersPage runs every command of docs/CALLERS.md in order against a
// daemon, so that the examples keep working.
func TestCallersPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/CALLERS.md")
	if err != nil {
		t.Fatal(err)
	}
	f := startTestFleet(t, 1)
	ticket := ""
	commands := commandBlock.FindAllStringSubmatch(string(page), -1)
	if len(commands) != 5 {
		t.Fatalf("found %d commands, want 5", len(commands))
	}
	for _, m := range commands {
		c := parseCurl(t, m[1], ticket)
		resp, body := c.send(t, f.addresses[0])
		if resp.StatusCode >= 300 {
			t.Fatalf("%s: status %d: %s", m[1], resp.StatusCode, body)
		}
		switch {
		case c.path == "/v1/tickets":
			ticket = issueTicket(t, f.addresses[0])
		case strings.HasPrefix(c.path, "/v1/requests/") && resp.Header.Get(header.Outcome) != "ran":
			t.Fatalf("%s: outcome %q", m[1], resp.Header.Get(header.Outcome))
		case c.path == "/v1/tickets/seal" && !strings.Contains(body, `"ran"`):
			t.Fatalf("sealing a ticket that ran: %s", body)
		}
	}
}
