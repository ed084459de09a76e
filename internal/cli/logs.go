package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"fuchsiaspar/internal/logread"
	"fuchsiaspar/platform"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const flagLog = "log"

// fromLogs explains one request from the logs of entry VMs.
func fromLogs(cmd *cli.Command, path string) error {
	request, err := argument(cmd, "the id of a request")
	if err != nil {
		return err
	}
	log, err := openLog(cmd, path)
	if err != nil {
		return err
	}
	defer log.Close()
	story, err := logread.Read(log, request)
	if err != nil {
		return err
	}
	return show(cmd, story, func(w io.Writer) { printStory(w, story) })
}

func openLog(cmd *cli.Command, path string) (io.ReadCloser, error) {
	if path == "-" {
		return io.NopCloser(cmd.Root().Reader), nil
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, usage("%s", err)
	}
	return file, nil
}

func printStory(w io.Writer, story logread.Story) {
	for _, line := range story.Beliefs {
		printLine(w, "  ", line)
	}
	for _, line := range story.Decisions {
		printLine(w, "* ", line)
	}
	fmt.Fprintln(w, story.Meaning())
}

func printLine(w io.Writer, mark string, line logread.Line) {
	fields := make([]string, 0, len(line.Fields))
	for _, f := range line.Fields {
		fields = append(fields, f.Key+"="+f.Value)
	}
	fmt.Fprintf(w, "%s%s %s %s: %s\n", mark, line.At.Format("15:04:05.000"), line.VM, line.Message, strings.Join(fields, " "))
}

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "check the settings of an entry VM on the platform",
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "print the settings in effect, or every missing one",
			ArgsUsage: "FILE",
			Action:    checkNode,
		}},
	}
}

func checkNode(_ context.Context, cmd *cli.Command) error {
	path, err := argument(cmd, "a settings file")
	if err != nil {
		return err
	}
	node, err := platform.LoadNode(path)
	if errors.Is(err, platform.ErrSettings) {
		return usage("%s", err)
	}
	if err != nil {
		return err
	}
	return show(cmd, node, func(w io.Writer) { printNode(w, node) })
}

func printNode(w io.Writer, node platform.Node) {
	table(w, []string{"SETTING", "VALUE"}, [][]string{
		{"name", string(node.Name)},
		{"zone, region", string(node.Zone) + ", " + string(node.Region)},
		{"requests of clients", node.Listen.Front},
		{"look-ups", node.Listen.Directory},
		{"readiness", node.Listen.Ready},
		{"other entry VMs", node.Listen.Peer},
		{"metrics", orDash(node.Listen.Metrics)},
		{"store", node.Store},
		{"memory", fmt.Sprintf("%d MB", node.Limits.MemoryMB)},
		{"time to stop", node.Bounds.Grace.String()},
		{"repeats", fmt.Sprintf("%g of requests and %g in %s", node.Bounds.RetryRatio, node.Bounds.RetrySlack, node.Bounds.RetryWindow)},
		{"cold servers", fmt.Sprintf("their rate x %g and %g", node.Bounds.ColdFactor, node.Bounds.ColdSlack)},
	})
}
