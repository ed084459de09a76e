package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"fuchsiaspar/internal/logread"
	"fuchsiaspar/platform"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const flagLog = "log"

// explainFromLogs explains one request from the logs of entry VMs instead of
// querying them.
func explainFromLogs(cmd *cli.Command, path string) error {
	request, err := requireArgument(cmd, "the id of a request")
	if err != nil {
		return err
	}
	log, err := openLog(cmd, path)
	if err != nil {
		return err
	}
	defer log.Close()
	report, err := logread.Read(log, request)
	if err != nil {
		return err
	}
	return printResult(cmd, report, func(w io.Writer) { printReport(w, report) })
}

func openLog(cmd *cli.Command, path string) (io.ReadCloser, error) {
	if path == "-" {
		return io.NopCloser(cmd.Root().Reader), nil
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, newUsageError("%s", err)
	}
	return file, nil
}

// printReport prints the log lines about a request, decisions marked with an
// asterisk, and the conclusion.
func printReport(w io.Writer, report logread.Report) {
	for _, line := range report.Beliefs {
		printLine(w, "  ", line)
	}
	for _, line := range report.Decisions {
		printLine(w, "* ", line)
	}
	fmt.Fprintln(w, report.Explanation())
}

func printLine(w io.Writer, prefix string, line logread.Line) {
	fields := make([]string, 0, len(line.Fields))
	for _, f := range line.Fields {
		fields = append(fields, f.Key+"="+f.Value)
	}
	fmt.Fprintf(w, "%s%s %s %s: %s\n", prefix, line.At.Format("15:04:05.000"), line.VM, line.Message, strings.Join(fields, " "))
}

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "check configuration files and read the state of entry VMs on the platform",
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "check a settings file: print the effective settings, or every missing one",
			ArgsUsage: "FILE",
			Action:    checkNode,
		}, {
			Name:      "deploy",
			Usage:     "check a deploy file and print the roles it defines",
			ArgsUsage: "FILE",
			Action:    checkDeploy,
		}, {
			Name:      "state",
			Usage:     "print an entry VM's view of the deployment, read from its metrics",
			ArgsUsage: "HOST:PORT",
			Action:    nodeState,
		}},
	}
}

// checkNode is the action of node check.
func checkNode(_ context.Context, cmd *cli.Command) error {
	path, err := requireArgument(cmd, "a settings file")
	if err != nil {
		return err
	}
	node, err := platform.LoadNodeSettings(path)
	if errors.Is(err, platform.ErrSettings) {
		return newUsageError("%s", err)
	}
	if err != nil {
		return err
	}
	return printResult(cmd, node, func(w io.Writer) { printNode(w, node) })
}

func printNode(w io.Writer, node platform.NodeSettings) {
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

// checkDeploy is the action of node deploy.
func checkDeploy(_ context.Context, cmd *cli.Command) error {
	path, err := requireArgument(cmd, "a deploy file")
	if err != nil {
		return err
	}
	deploy, err := platform.LoadDeploy(path)
	if errors.Is(err, platform.ErrDeploy) {
		return newUsageError("%s", err)
	}
	if err != nil {
		return err
	}
	return printResult(cmd, deploy, func(w io.Writer) {
		var rows [][]string
		for name, role := range deploy.Roles {
			rows = append(rows, []string{name, role.Run, role.On, strings.Join(role.Serves, ","), orDash(role.Metrics)})
		}
		table(w, []string{"ROLE", "RUN", "ON", "SERVES", "METRICS"}, rows)
	})
}

// stateMetrics are prefixes, after fuchsiaspar_, of the metrics that describe a
// VM's view of the deployment.
var stateMetrics = []string{"vms_alive", "store_copy_age_seconds", "configuration_version", "servers{"}

// nodeState reads the metrics endpoint of a VM and prints the stateMetrics.
func nodeState(ctx context.Context, cmd *cli.Command) error {
	address, err := requireArgument(cmd, "the metrics address of an entry VM")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return newUsageError("%s", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "read metrics")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read metrics")
	}
	state := filterStateMetrics(string(text))
	return printResult(cmd, state, func(w io.Writer) { fmt.Fprintln(w, strings.Join(state, "\n")) })
}

func filterStateMetrics(metrics string) []string {
	var found []string
	for line := range strings.Lines(metrics) {
		for _, name := range stateMetrics {
			if strings.HasPrefix(line, "fuchsiaspar_"+name) {
				found = append(found, strings.TrimSpace(line))
			}
		}
	}
	return found
}
