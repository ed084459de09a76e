package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// ErrInvariantViolated reports a run in which an invariant did not hold.
var ErrInvariantViolated = errors.New("an invariant did not hold")

// defaultSeed is the default seed of the random request arrivals.
const defaultSeed = 1

// Command returns the demo command. It exits with 0 if every invariant held or the
// baseline policy ran, with 1 for invalid flags and with 2 if the run failed or an
// invariant was violated.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole deployment on the loopback range under a scenario",
		Description: "Starts 7 entry VMs, backend servers and callers in one process, runs a scenario and\n" +
			"checks the invariants at callers and servers. Exits 0 only if all of them held.\n\nScenarios:\n" + scenarioList(),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "scenario", Value: "tour", Usage: "`NAME` of the scenario; join names with + to run them together"},
			&cli.StringFlag{Name: "deployment", Value: "kanalnet", Usage: "kanalnet or hofer"},
			&cli.StringFlag{Name: "policy", Value: string(PolicyFull), Usage: "full or baseline"},
			&cli.DurationFlag{Name: "time", Usage: "offer load for this long instead of the scenario's own time"},
			&cli.Uint64Flag{Name: "seed", Value: defaultSeed, Usage: "seed of the arrivals"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON document"},
			&cli.BoolFlag{Name: "verbose", Usage: "write the logs of the daemons to standard error"},
		},
		Action: runCommand,
	}
}

// scenarioList returns one line of help text for each built-in scenario.
func scenarioList() string {
	var b strings.Builder
	for _, s := range Scenarios() {
		fmt.Fprintf(&b, "  %-20s %s\n", s.Name, s.Summary)
	}
	return b.String()
}

func runCommand(ctx context.Context, c *cli.Command) error {
	o, err := parseOptions(c)
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	report, err := Run(ctx, o)
	if err != nil {
		return cli.Exit(err, exitFailure)
	}
	if err := writeReport(c.Root().Writer, report, c.Bool("json")); err != nil {
		return cli.Exit(err, exitFailure)
	}
	if o.Policy == PolicyFull && !report.Held {
		return cli.Exit(ErrInvariantViolated, exitFailure)
	}
	return nil
}

// Exit codes of the command: invalid flags, and a failed run or a violated
// invariant.
const (
	exitUsage   = 1
	exitFailure = 2
)

// parseOptions reads the flags and returns an error for an unknown scenario,
// deployment or policy.
func parseOptions(c *cli.Command) (Options, error) {
	o := Options{Policy: Policy(c.String("policy")), Seed: c.Uint64("seed"), Logger: log.New(io.Discard)}
	scenario, ok := FindScenario(c.String("scenario"))
	if !ok {
		return o, errors.Errorf("no scenario is called %q; see demo --help", c.String("scenario"))
	}
	if t := c.Duration("time"); t > 0 {
		scenario.Duration = t
	}
	o.Scenario = scenario
	deployment, ok := Deployments()[c.String("deployment")]
	if !ok {
		return o, errors.Errorf("no deployment is called %q: want kanalnet or hofer", c.String("deployment"))
	}
	o.Deployment = deployment
	if o.Policy != PolicyFull && o.Policy != PolicyBaseline {
		return o, errors.Errorf("no policy is called %q: want full or baseline", o.Policy)
	}
	if c.Bool("verbose") {
		o.Logger = log.NewWithOptions(c.Root().ErrWriter, log.Options{Formatter: log.LogfmtFormatter, ReportTimestamp: true, Level: log.DebugLevel})
	}
	return o, nil
}

// writeReport writes the report as text or as one JSON document.
func writeReport(w io.Writer, r *Report, asJSON bool) error {
	if !asJSON {
		return r.WriteText(w)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
