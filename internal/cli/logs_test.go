package cli

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestDeployFile(t *testing.T) {
	if got := run("node", "deploy", "../../deploy/system.toml"); got.code != 0 || !strings.Contains(got.stdout, "fuchsiaspard platform") {
		t.Errorf("got %d, %s%s", got.code, got.stdout, got.stderr)
	}
	if got := run("node", "deploy", "no-such-file"); got.code != 1 {
		t.Errorf("missing file: got exit code %d, want 1", got.code)
	}
}

func TestStateOfAVM(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "# HELP x\nfuchsiaspar_vms_alive{vm=\"a\"} 7\nfuchsiaspar_lookups{vm=\"a\"} 9\nfuchsiaspar_servers{service=\"s\"} 20\n")
	}))
	defer server.Close()
	got := run("node", "state", server.Listener.Addr().String())
	want := "fuchsiaspar_vms_alive{vm=\"a\"} 7\nfuchsiaspar_servers{service=\"s\"} 20\n"
	if got.code != 0 || got.stdout != want {
		t.Errorf("got %d, %q; want %q", got.code, got.stdout, want)
	}
}
