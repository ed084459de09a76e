package cli

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"fuchsiaspar/internal/routereport"
)

// shows reports whether a command printed text.
func (r commandResult) shows(text string) bool { return strings.Contains(r.stdout+r.stderr, text) }

// TestRoute guards against answers that are printed without what they rest on, against
// refusals of a VM that look like success, and against keys that are printed when they are
// passed in place of an account's name.
func TestRoute(t *testing.T) {
	const answer = `{"vm":"edge-1","region":"mb","data":{"config_version":7,"copy_age_ms":120},
		"route":{"name":"read","host":"h","prefix":"/a/","kind":"idempotent","rank":1},
		"account":{"name":"acc","rate_per_s":5,"burst":2},"allowed_regions":["mb"],
		"services":[{"name":"desk","share":1,"servers":3,"chosen":"i-1","candidates":[
			{"server":"i-1","zone":"mb-a","region":"mb","cost":1.5,"parts":[{"name":"load","cost":1.5}],"present":3,"capacity":2,"speed":0.5,"report_age_ms":40},
			{"server":"i-2","zone":"kp-a","region":"kp","excluded":"region not allowed","speed":1,"report_age_ms":-1}]}],
		"unknown":["something"]}`
	var asked string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.URL.String()
		if r.URL.Query().Get(routereport.ParamRegion) == "x" {
			http.Error(w, "unknown region or zone", http.StatusBadRequest)
			return
		}
		_, _ = io.WriteString(w, answer)
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	got := run("route", "--host", "h", "--path", "/a/b", "--account", "acc", "--object", "o", address)
	if got.code != 0 || asked != "/route?account=acc&host=h&object=o&path=%2Fa%2Fb" {
		t.Fatalf("got %d, %s after asking %q", got.code, got.stderr, asked)
	}
	for _, want := range []string{"goes to i-1", "load 1.50", "region not allowed", "3/2.0", "40 ms ago", "120 ms ago", "5 requests per second", "something"} {
		if !strings.Contains(got.stdout, want) {
			t.Errorf("%q is missing in\n%s", want, got.stdout)
		}
	}
	if got := run("--json", "route", "--host", "h", address); got.code != 0 || !strings.Contains(got.stdout, `"chosen": "i-1"`) {
		t.Errorf("got %d, %s", got.code, got.stdout)
	}
	if got := run("route", "--host", "h", "--region", "x", address); got.code != ExitRefused || !strings.Contains(got.stderr, "unknown region") {
		t.Errorf("unknown region: got %d, %s", got.code, got.stderr)
	}
	if got := run("route", "--host", "h", "--account", "key-1", "--object", "key-2", address); got.code != 0 || got.shows("key-") {
		t.Errorf("a key instead of an account's name: got %d, %s%s", got.code, got.stdout, got.stderr)
	}
	if got := run("route", "--host", "h", "--account", "key-1", "--region", "x", address); got.code != ExitRefused || got.shows("key-") {
		t.Errorf("refused with a key: got %d, %s%s", got.code, got.stdout, got.stderr)
	}
	if got := run("route", "--host", "h", "--account", "key-1", "bad address\x7f:1"); got.code != ExitUsage || got.shows("key-") {
		t.Errorf("bad address with a key: got %d, %s%s", got.code, got.stdout, got.stderr)
	}
	if got := run("route", address); got.code != ExitUsage {
		t.Errorf("no host: got %d, want a usage error", got.code)
	}
	server.Close()
	for _, args := range [][]string{nil, {"--json"}} {
		got := run(append(args, "route", "--host", "h", "--account", "key-1", address)...)
		if got.code != ExitUnavailable || got.shows("key-") || !got.shows("refused") {
			t.Errorf("no VM: got %d, %s%s", got.code, got.stdout, got.stderr)
		}
	}
}
