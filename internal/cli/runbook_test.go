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

// fence is a fenced code block of a Markdown page.
type fence struct {
	// language is the first word of the info string; name, the rest, is the file
	// that the block defines, if any.
	language, name string
	lines          []string
}

// fences returns the fenced code blocks of a Markdown page in order.
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

// command is a parsed command line of a page.
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
		t.Fatalf("unsupported command syntax: %s", line)
	}
	exit, _ := strconv.Atoi(match[4])
	return command{program: match[1], args: strings.Fields(match[2]), redirect: match[3], exit: exit}
}

// runPageCommands goes through the code blocks of a page in order: it writes
// named blocks to files in the current directory and runs the lines of sh blocks
// as commands. It returns the number of commands.
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

// run executes the command in this process.
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

// TestRunbookCommands runs every command of the runbook and checks the exit
// codes, so that the page can't fall behind the command line.
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
		t.Errorf("ran %d commands, want at least %d", count, minCommands)
	}
}

// TestOperationsCommands runs every command of the operations page and checks
// that the request ids of its sample log are explained as the page says.
func TestOperationsCommands(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(t.TempDir())
	const minCommands = 4
	if count := runPageCommands(t, string(page)); count < minCommands {
		t.Errorf("ran %d commands, want at least %d", count, minCommands)
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
