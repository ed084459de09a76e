package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"fuchsiaspar/gen/http/operator/server"
	gen "fuchsiaspar/gen/operator"
	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"

	"github.com/urfave/cli/v3"
)

// Names of the flags of the drain commands; other commands reuse flagAccount.
const (
	flagName    = "name"
	flagAccount = "account"
	flagStart   = "start"
	flagEnd     = "end"
	flagFor     = "for"
)

// drainPollInterval is how often drain watch polls the progress of a drain.
const drainPollInterval = time.Second

var drainKinds = []string{
	string(config.DrainServer), string(config.DrainEntry), string(config.DrainZone), string(config.DrainRegion),
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "schedule, watch and cancel drains",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list drains and their progress", Action: drainList},
			{
				Name:      "add",
				Usage:     "schedule a drain of a backend server, an entry VM, an availability zone or a region",
				ArgsUsage: "KIND TARGET",
				Flags: changeFlags(
					&cli.StringFlag{Name: flagName, Usage: "`name` of the drain (default: KIND-TARGET)"},
					&cli.StringFlag{Name: flagAccount, Usage: "limit the drain to this client `account`"},
					&cli.TimestampFlag{Name: flagStart, Usage: "start `time`, such as 2030-01-31T22:00:00Z (default: now)", Config: timestamps()},
					&cli.TimestampFlag{Name: flagEnd, Usage: "end `time`", Config: timestamps()},
					&cli.DurationFlag{Name: flagFor, Usage: "`duration` of the drain, such as 2h, instead of an end time"},
				),
				Action: drainAdd,
			},
			{Name: "watch", Usage: "follow the progress of a drain until its target is empty", ArgsUsage: "NAME", Action: drainWatch},
			{Name: "cancel", Usage: "end a drain now", ArgsUsage: "NAME", Flags: changeFlags(), Action: drainCancel},
		},
	}
}

func timestamps() cli.TimestampConfig {
	return cli.TimestampConfig{Layouts: []string{time.RFC3339}}
}

func fetchDrains(ctx context.Context, cmd *cli.Command) (*gen.DrainsResult, error) {
	return call(ctx, cmd, func(ctx context.Context, c *gen.Client) (*gen.DrainsResult, error) {
		return c.Drains(ctx)
	})
}

func drainList(ctx context.Context, cmd *cli.Command) error {
	if err := requireNoArguments(cmd); err != nil {
		return err
	}
	result, err := fetchDrains(ctx, cmd)
	if err != nil {
		return err
	}
	return printResult(cmd, server.NewDrainsResponseBody(result), func(w io.Writer) { printDrains(w, result.Drains) })
}

func printDrains(w io.Writer, drains []*gen.DrainStatus) {
	var rows [][]string
	for _, d := range drains {
		rows = append(rows, []string{
			d.ID, d.Kind, d.Target, orDash(stringOrEmpty(d.Account)), d.Start, d.End, d.Phase,
			strconv.Itoa(d.InFlight), formatDrainTime(d),
		})
	}
	table(w, []string{"DRAIN", "KIND", "TARGET", "ACCOUNT", "START", "END", "PHASE", "IN FLIGHT", "EMPTY AFTER"}, rows)
}

// formatDrainTime returns the time from the start of a drain until its target
// was empty, or a dash while it is not.
func formatDrainTime(d *gen.DrainStatus) string {
	if d.DrainedMs == nil {
		return "-"
	}
	return (time.Duration(*d.DrainedMs) * time.Millisecond).String()
}

func drainAdd(ctx context.Context, cmd *cli.Command) error {
	const argCount = 2
	args := cmd.Args().Slice()
	if len(args) != argCount || !slices.Contains(drainKinds, args[0]) {
		return newUsageError("drain add takes a kind (%s) and a target: see --help", strings.Join(drainKinds, ", "))
	}
	drain, err := drainFromFlags(cmd, args[0], args[1], time.Now())
	if err != nil {
		return err
	}
	return submitChange(ctx, cmd, config.Change{Drains: []config.Drain{drain}})
}

// drainFromFlags returns the drain described by the arguments and flags of
// drain add. It starts now unless --start is set.
func drainFromFlags(cmd *cli.Command, kind, target string, now time.Time) (config.Drain, error) {
	d := config.Drain{
		ID:      cmd.String(flagName),
		Kind:    config.DrainKind(kind),
		Target:  target,
		Account: model.AccountID(cmd.String(flagAccount)),
		Start:   now.UTC().Truncate(time.Second),
		End:     cmd.Timestamp(flagEnd).UTC(),
	}
	if d.ID == "" {
		d.ID = kind + "-" + target
	}
	if cmd.IsSet(flagStart) {
		d.Start = cmd.Timestamp(flagStart).UTC()
	}
	if cmd.IsSet(flagEnd) == cmd.IsSet(flagFor) {
		return d, newUsageError("drain add takes either --%s or --%s", flagEnd, flagFor)
	}
	if cmd.IsSet(flagFor) {
		d.End = d.Start.Add(cmd.Duration(flagFor))
	}
	return d, nil
}

func drainWatch(ctx context.Context, cmd *cli.Command) error {
	name, err := requireArgument(cmd, "NAME")
	if err != nil {
		return err
	}
	for {
		d, err := findDrain(ctx, cmd, name)
		if err != nil {
			return err
		}
		if d.Phase == "drained" || d.Phase == "ended" {
			result := &gen.DrainsResult{Drains: []*gen.DrainStatus{d}}
			return printResult(cmd, server.NewDrainsResponseBody(result), func(w io.Writer) {
				fmt.Fprintf(w, "%s %s is %s, empty after %s\n", d.Kind, d.Target, d.Phase, formatDrainTime(d))
			})
		}
		printProgress(cmd, "%s %s is %s: %d requests in flight", d.Kind, d.Target, d.Phase, d.InFlight)
		if !sleep(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
}

// findDrain returns the status of the named drain, or a refusedError if there is
// no such drain.
func findDrain(ctx context.Context, cmd *cli.Command, name string) (*gen.DrainStatus, error) {
	result, err := fetchDrains(ctx, cmd)
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(result.Drains, func(d *gen.DrainStatus) bool { return d.ID == name })
	if i < 0 {
		return nil, notFound("drain", name)
	}
	return result.Drains[i], nil
}

func drainCancel(ctx context.Context, cmd *cli.Command) error {
	name, err := requireArgument(cmd, "NAME")
	if err != nil {
		return err
	}
	return submitChange(ctx, cmd, config.Change{DeleteDrains: []string{name}})
}
