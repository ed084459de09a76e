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

// ErrBroken reports a run in which an invariant did not hold.
var ErrBroken = errors.New("an invariant did not hold")

// defaultSeed seeds the arrivals of a run.
const defaultSeed = 1

// Command returns the demo command of the command line.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole deployment on the loopback range under a scenario",
		Description: "Starts 7 entry VMs, backend servers and callers in one process, plays a scenario and\n" +
			"checks the invariants at callers and servers. Exits 0 only if all of them held.\n\nScenarios:\n" + scenarioList(),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "scenario", Value: "tour", Usage: "`NAME` of the scenario; join names with + to play them at once"},
			&cli.StringFlag{Name: "deployment", Value: "kanalnet", Usage: "kanalnet or hofer"},
			&cli.StringFlag{Name: "policy", Value: string(PolicyFull), Usage: "full or baseline"},
			&cli.DurationFlag{Name: "time", Usage: "offer load for this long instead of the scenario's own time"},
			&cli.Uint64Flag{Name: "seed", Value: defaultSeed, Usage: "seed of the arrivals"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON document"},
			&cli.BoolFlag{Name: "verbose", Usage: "log what the daemons do to standard error"},
		},
		Action: runCommand,
	}
}

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
		return cli.Exit(err, exitBroken)
	}
	if err := write(c.Root().Writer, report, c.Bool("json")); err != nil {
		return cli.Exit(err, exitBroken)
	}
	if o.Policy == PolicyFull && !report.Held {
		return cli.Exit(ErrBroken, exitBroken)
	}
	return nil
}

// Exit codes of the command.
const (
	exitUsage  = 1
	exitBroken = 2
)

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

func write(w io.Writer, r *Report, asJSON bool) error {
	if !asJSON {
		return r.WriteText(w)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
