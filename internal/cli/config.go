package cli

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"fuchsiaspar/gen/http/operator/server"
	gen "fuchsiaspar/gen/operator"
	"fuchsiaspar/internal/config"

	"github.com/urfave/cli/v3"
)

// Names and defaults of flags of the config commands.
const (
	flagRevision = "revision"
	flagChange   = "change"
	flagLimit    = "limit"
	defaultLimit = 20
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "show and change the whole configuration",
		Commands: []*cli.Command{
			{
				Name:   "show",
				Usage:  "print the configuration in force as TOML, or as JSON with --json",
				Flags:  []cli.Flag{&cli.Uint64Flag{Name: flagRevision, Usage: "`revision` to print instead of the one in force"}},
				Action: configShow,
			},
			{
				Name:      "apply",
				Usage:     "apply an edited configuration",
				ArgsUsage: "FILE",
				Description: "FILE is a complete document as printed by config show; the change is based on its revision.\n" +
					"With --change, FILE contains only the parts to change. - reads standard input.",
				Flags:  changeFlags(&cli.BoolFlag{Name: flagChange, Usage: "FILE contains only the parts to change"}),
				Action: configApply,
			},
			{
				Name:      "diff",
				Usage:     "print the differences between two revisions",
				ArgsUsage: "FROM [TO]",
				Action:    configDiff,
			},
			{
				Name:   "history",
				Usage:  "list the latest changes, newest first",
				Flags:  []cli.Flag{&cli.IntFlag{Name: flagLimit, Usage: "maximum `number` of changes", Value: defaultLimit}},
				Action: configHistory,
			},
		},
	}
}

func configShow(ctx context.Context, cmd *cli.Command) error {
	if err := requireNoArguments(cmd); err != nil {
		return err
	}
	format := "toml"
	if cmd.Bool(flagJSON) {
		format = "json"
	}
	payload := &gen.ShowPayload{Revision: optional(cmd.Uint64(flagRevision)), Format: format}
	result, err := call(ctx, cmd, func(ctx context.Context, c *gen.Client) (*gen.ShowResult, error) {
		return c.Show(ctx, payload)
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(outputWriter(cmd), strings.TrimSuffix(result.Text, "\n"))
	return nil
}

// fetchDocument returns the configuration in force.
func fetchDocument(ctx context.Context, cmd *cli.Command) (*config.Document, error) {
	result, err := call(ctx, cmd, func(ctx context.Context, c *gen.Client) (*gen.ShowResult, error) {
		return c.Show(ctx, &gen.ShowPayload{Format: "json"})
	})
	if err != nil {
		return nil, err
	}
	return config.ParseJSON([]byte(result.Text))
}

func configApply(ctx context.Context, cmd *cli.Command) error {
	name, err := requireArgument(cmd, "FILE")
	if err != nil {
		return err
	}
	content, err := readFile(cmd, name)
	if err != nil {
		return err
	}
	req := newRequest(cmd, content, "toml")
	req.Whole = !cmd.Bool(flagChange)
	return submit(ctx, cmd, req)
}

func configDiff(ctx context.Context, cmd *cli.Command) error {
	payload, err := diffPayload(cmd.Args().Slice())
	if err != nil {
		return err
	}
	result, err := call(ctx, cmd, func(ctx context.Context, c *gen.Client) (*gen.DiffResult, error) {
		return c.Diff(ctx, payload)
	})
	if err != nil {
		return err
	}
	return printResult(cmd, server.NewDiffResponseBody(result), func(w io.Writer) {
		fmt.Fprintf(w, "revision %d to %d\n", result.From, result.To)
		printDifferences(w, result.Differences)
	})
}

// diffPayload parses the arguments of config diff: one or two revisions.
func diffPayload(args []string) (*gen.DiffPayload, error) {
	const maxArgs = 2
	if len(args) == 0 || len(args) > maxArgs {
		return nil, newUsageError("config diff takes one or two revisions: see --help")
	}
	revisions := make([]uint64, maxArgs)
	for i, arg := range args {
		revision, err := strconv.ParseUint(arg, 10, 64)
		if err != nil || revision == 0 {
			return nil, newUsageError("%q is no revision: see fuchsiaspar config history", arg)
		}
		revisions[i] = revision
	}
	return &gen.DiffPayload{From: revisions[0], To: optional(revisions[1])}, nil
}

func configHistory(ctx context.Context, cmd *cli.Command) error {
	if err := requireNoArguments(cmd); err != nil {
		return err
	}
	payload := &gen.HistoryPayload{Limit: cmd.Int(flagLimit)}
	result, err := call(ctx, cmd, func(ctx context.Context, c *gen.Client) (*gen.HistoryResult, error) {
		return c.History(ctx, payload)
	})
	if err != nil {
		return err
	}
	return printResult(cmd, server.NewHistoryResponseBody(result), func(w io.Writer) { printHistory(w, result.Commits) })
}

func printHistory(w io.Writer, commits []*gen.CommitInfo) {
	var rows [][]string
	for _, c := range commits {
		rows = append(rows, []string{
			strconv.FormatUint(c.Revision, 10),
			c.Time,
			orDash(c.Operator),
			c.ChangeID,
			strings.Join(c.Keys, ","),
			orDash(strings.Join(c.Excluded, ",")),
		})
	}
	table(w, []string{"REVISION", "TIME", "OPERATOR", "CHANGE", "EDITED", "NOT ASKED"}, rows)
}
