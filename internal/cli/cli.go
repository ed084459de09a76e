// Package cli implements the fuchsiaspar command. It is a client of the operator
// API, which every entry VM serves, so any reachable VM can execute a command.
package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// DefaultServer is the host:port of the operator API used without --server.
const DefaultServer = "127.0.0.1:8080"

// defaultTimeout limits one call to the operator API. It must exceed the time
// that an entry VM needs to get a change acknowledged.
const defaultTimeout = 30 * time.Second

// Names of the global flags.
const (
	flagServer  = "server"
	flagJSON    = "json"
	flagTimeout = "timeout"
)

const description = `Exit codes:
   0  success
   1  usage error
   2  refused or invalid: nothing was changed
   3  conflict: another change was committed first
   4  unavailable: no server responded, the store is down, or the outcome
      of a change is unknown`

// New returns the fuchsiaspar root command with its subcommands and extra.
func New(extra ...*cli.Command) *cli.Command {
	root := &cli.Command{
		Name:                  "fuchsiaspar",
		Usage:                 "steer traffic across availability zones and regions",
		Description:           description,
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(cmd *cli.Command) {
			cmd.Hidden = false
		},
		Suggest: true,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name:    flagServer,
				Usage:   "`host:port` of an entry VM's operator API; repeat the flag to add fallbacks, tried in order",
				Value:   []string{DefaultServer},
				Sources: cli.EnvVars("FUCHSIASPAR_SERVER"),
			},
			&cli.BoolFlag{Name: flagJSON, Usage: "print one JSON document instead of tables"},
			&cli.DurationFlag{Name: flagTimeout, Usage: "time limit of one call to a server", Value: defaultTimeout},
		},
		Commands: append([]*cli.Command{
			statusCommand(),
			configCommand(),
			templateCommand(),
			accountCommand(),
			drainCommand(),
			explainCommand(),
			lookupCommand(),
			nodeCommand(),
			routeCommand(),
		}, extra...),
	}
	configureErrorHandling(root)
	return root
}

// Run executes a command returned by New, prints its error if any, and returns
// the process's exit code.
func Run(ctx context.Context, root *cli.Command, args []string) int {
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	printError(root, err)
	return ExitCode(err)
}

// configureErrorHandling makes cmd and its subcommands return usage errors as
// usageError and leaves the printing of errors to Run.
func configureErrorHandling(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return newUsageError("%v: see --help", err)
	}
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	if cmd.Action == nil {
		cmd.Action = showHelpOrUnknown
	}
	for _, sub := range cmd.Commands {
		configureErrorHandling(sub)
	}
}

// showHelpOrUnknown is the action of a command that only has subcommands: it
// rejects an unknown subcommand, or prints help if none is given.
func showHelpOrUnknown(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		return newUsageError("unknown command %q: see %s --help", name, cmd.FullName())
	}
	return cli.ShowSubcommandHelp(cmd)
}

// usageError reports an invalid command line.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func newUsageError(format string, args ...any) error {
	return errors.WithStack(&usageError{fmt.Sprintf(format, args...)})
}

// requireArgument returns the command's argument, or a usage error unless there
// is exactly one. The error calls it name.
func requireArgument(cmd *cli.Command, name string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", newUsageError("%s takes one argument, %s: see --help", cmd.FullName(), name)
	}
	return cmd.Args().First(), nil
}

// requireNoArguments returns a usage error if the command has arguments.
func requireNoArguments(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return newUsageError("%s takes no argument %q: see --help", cmd.FullName(), cmd.Args().First())
	}
	return nil
}

// outputWriter returns the writer for the results of cmd.
func outputWriter(cmd *cli.Command) io.Writer { return cmd.Root().Writer }

// printProgress prints a progress line to standard error. It prints nothing
// with --json.
func printProgress(cmd *cli.Command, format string, args ...any) {
	if cmd.Bool(flagJSON) {
		return
	}
	fmt.Fprintf(cmd.Root().ErrWriter, format+"\n", args...)
}
