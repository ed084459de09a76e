package cli

import (
	"bytes"
	"context"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"fuchsiaspar/internal/daemon"
)

// fence is one fenced block of a page.
type fence struct {
	// language is the first word after the fence, name the second.
	language, name string
	lines          []string
}

// fences returns the fenced blocks of a Markdown page in order.
func fences(page string) []fence {
	var (
		found []fence
		open  bool
	)
	for line := range strings.Lines(page) {
		line = strings.TrimRight(line, "\n")
		info, isFence := strings.CutPrefix(line, "```")
		switch {
		case isFence && open:
			open = false
		case isFence:
			language, name, _ := strings.Cut(info, " ")
			found = append(found, fence{language: language, name: name})
			open = true
		case open:
			last := &found[len(found)-1]
			last.lines = append(last.lines, line)
		}
	}
	return found
}

// command is one command line of a page.
type command struct {
	program  string
	args     []string
	redirect string
	exit     int
}

var commandPattern = regexp.MustCompile(`^(fuchsiaspard?) ([^>#]*)(?:> (\S+))?\s*(?:# exit (\d))?$`)

func parseCommand(t *testing.T, line string) command {
	t.Helper()
	match := commandPattern.FindStringSubmatch(line)
	if match == nil {
		t.Fatalf("not a command that this test can run: %s", line)
	}
	exit, _ := strconv.Atoi(match[4])
	return command{program: match[1], args: strings.Fields(match[2]), redirect: match[3], exit: exit}
}

// runPage writes the page's named files and runs its commands in order, in the
// present directory.
func runPageCommands(t *testing.T, page string) int {
	t.Helper()
	count := 0
	for _, f := range fences(page) {
		if f.name != "" {
			writeFile(t, f.name, strings.Join(f.lines, "\n")+"\n")
			continue
		}
		if f.language != "sh" {
			continue
		}
		for _, line := range f.lines {
			runCommandLine(t, line)
			count++
		}
	}
	return count
}

// run runs the program in this process.
func (c command) run() commandResult {
	if c.program == "fuchsiaspar" {
		return run(c.args...)
	}
	var output bytes.Buffer
	code := daemon.Run(context.Background(), append([]string{c.program}, c.args...), &output)
	return commandResult{code: code, stdout: output.String()}
}

func runCommandLine(t *testing.T, line string) {
	t.Helper()
	c := parseCommand(t, line)
	got := c.run()
	if got.code != c.exit {
		t.Errorf("%s\nexit %d, want %d\n%s%s", line, got.code, c.exit, got.stdout, got.stderr)
	}
	if c.redirect != "" {
		writeFile(t, c.redirect, got.stdout)
	}
}

func writeFile(t *testing.T, name, content string) {
	t.Helper()
	if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestRunbookCommands(t *testing.T) {
	page, err := os.ReadFile("../../docs/RUNBOOK.md")
	if err != nil {
		t.Fatal(err)
	}
	server := startServer(t)
	t.Setenv("FUCHSIASPAR_SERVER", server.address)
	t.Chdir(t.TempDir())
	const minCommands = 25
	if count := runPageCommands(t, string(page)); count < minCommands {
		t.Errorf("%d commands were run, want at least %d", count, minCommands)
	}
}

func TestOperationsCommands(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(t.TempDir())
	const minCommands = 4
	if count := runPageCommands(t, string(page)); count < minCommands {
		t.Errorf("%d commands were run, want at least %d", count, minCommands)
	}
	for id, want := range map[string]string{
		"b2c9de1680f6c003": "refused, not run",
		"ddde56a49f381c33": "unknown outcome",
		"3d9888bbaa784dfe": "answered by the server",
	} {
		if got := run("explain", "--log", "vm.log", id); !strings.Contains(got.stdout, want) {
			t.Errorf("explain %s: got %s, want %q", id, got.stdout, want)
		}
	}
}
