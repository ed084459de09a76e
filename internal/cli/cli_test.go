package cli

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	gen "fuchsiaspar/gen/operator"
	"fuchsiaspar/internal/platform/standin"
)

// startConfiguredServer starts a server and applies the initial configuration
// from the runbook.
func startConfiguredServer(t *testing.T) *testServer {
	t.Helper()
	page, err := os.ReadFile("../../docs/RUNBOOK.md")
	if err != nil {
		t.Fatal(err)
	}
	server := startServer(t)
	t.Setenv("FUCHSIASPAR_SERVER", server.address)
	t.Chdir(t.TempDir())
	const file = "fleet.toml"
	for _, f := range fences(string(page)) {
		if f.name == file {
			writeFile(t, file, strings.Join(f.lines, "\n"))
		}
	}
	if got := run("config", "apply", file); got.code != ExitOK {
		t.Fatalf("applying the initial configuration: %+v", got)
	}
	return server
}

func TestExitCodes(t *testing.T) {
	startConfiguredServer(t)
	tests := []struct {
		name       string
		line       string
		code       int
		wantOutput string
	}{
		{"success", "status", ExitOK, "entry-lj-1"},
		{"unknown command", "bogus", ExitUsage, "--help"},
		{"unknown subcommand", "config bogus", ExitUsage, "--help"},
		{"unknown flag", "status --bogus", ExitUsage, "--help"},
		{"missing argument", "account show", ExitUsage, "one argument"},
		{"unexpected argument", "status now", ExitUsage, "no argument"},
		{"missing file", "config apply none.toml", ExitUsage, "none.toml"},
		{"bad rank", "account set kanal --template lease --rank lookup=soon", ExitUsage, "class=urgent"},
		{"invalid revision", "config diff x", ExitUsage, "history"},
		{"drain without end", "drain add zone lj-1", ExitUsage, "--for"},
		{"missing account", "account show nobody", ExitRefused, "account list"},
		{"missing revision", "config show --revision 77", ExitRefused, "history"},
		{"limit out of range", "config history --limit 5000", ExitRefused, "1000"},
		{"invalid value", "account set kanal --template lease --weight 99", ExitRefused, "1 to 10"},
		{"invalid value in a dry run", "account set kanal --template lease --weight 99 --dry-run", ExitRefused, "1 to 10"},
		{"invalid client address", "lookup kanal lease-desk here", ExitRefused, "client"},
		{"unknown drain", "drain watch none", ExitRefused, "drain list"},
		{"unreachable server", "--server 127.0.0.1:1 status", ExitUnavailable, "--server"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := run(strings.Fields(tt.line)...)
			if got.code != tt.code || !strings.Contains(got.stdout+got.stderr, tt.wantOutput) {
				t.Errorf("%s: got %+v, want exit %d and %q", tt.line, got, tt.code, tt.wantOutput)
			}
		})
	}
}

func TestEveryAnswerIsJSONWhenAsked(t *testing.T) {
	startConfiguredServer(t)
	lines := []string{
		"status", "config show", "config history", "config diff 1", "template list", "template show lease",
		"account list", "account show kanal", "drain list", "explain", "lookup kanal lease-desk 10.20.0.1",
		"account set kanal --template lease --weight 3 --dry-run", "account set kanal --template lease --weight 3",
		"account set kanal --template lease --weight 99", "bogus", "status --server 127.0.0.1:1",
	}
	for _, line := range lines {
		got := run(append([]string{"--json"}, strings.Fields(line)...)...)
		if !json.Valid([]byte(got.stdout)) || got.stderr != "" {
			t.Errorf("%s: %+v", line, got)
		}
	}
}

func TestServersAreTriedInOrder(t *testing.T) {
	server := startConfiguredServer(t)
	got := run("--server", "127.0.0.1:1", "--server", server.address, "account", "set", "kanal", "--template", "lease", "--weight", "4")
	if got.code != ExitOK || !strings.Contains(got.stdout, "revision 2") {
		t.Errorf("got %+v", got)
	}
}

func TestShownPartsCanBeApplied(t *testing.T) {
	startConfiguredServer(t)
	for _, line := range []string{"template show lease", "account show kanal"} {
		shown := run(strings.Fields(line)...)
		if shown.code != ExitOK {
			t.Fatalf("%s: %+v", line, shown)
		}
		writeFile(t, "part.toml", shown.stdout)
		verb := strings.Fields(line)[0]
		got := run(verb, "apply", "part.toml", "--dry-run")
		if got.code != ExitOK || !strings.Contains(got.stdout, "no difference") {
			t.Errorf("%s apply: %+v\n%s", verb, got, shown.stdout)
		}
	}
}

func TestCompletionScripts(t *testing.T) {
	for _, shell := range []string{"bash", "zsh", "fish", "pwsh"} {
		if got := run("completion", shell); got.code != ExitOK || got.stdout == "" {
			t.Errorf("%s: %+v", shell, got)
		}
	}
}

func TestStoreOutageIsUnavailable(t *testing.T) {
	server := startConfiguredServer(t)
	server.store.SetDown(standin.AllClients, true)
	got := run("--timeout", "200ms", "account", "set", "kanal", "--template", "lease", "--weight", "4")
	if got.code != ExitUnavailable {
		t.Errorf("got %+v", got)
	}
	if got := run("config", "show"); got.code != ExitOK {
		t.Errorf("config show during the outage: %+v", got)
	}
}

func TestExitCodeOfAnUnknownFailure(t *testing.T) {
	if code := ExitCode(&gen.Failure{Name: "of_a_newer_server"}); code != ExitUnavailable {
		t.Errorf("exit code %d, want %d: the outcome is unknown", code, ExitUnavailable)
	}
}
