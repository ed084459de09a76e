// Package cli is the operators' command line. It drives the operator API of
// any entry VM.
package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// DefaultServer is the operator API that is asked when none is named.
const DefaultServer = "127.0.0.1:8080"

// defaultTimeout bounds one call to the operator API. It exceeds the time that
// an entry VM takes to agree on a change.
const defaultTimeout = 30 * time.Second

// Names of flags that more than one command reads.
const (
	flagServer  = "server"
	flagJSON    = "json"
	flagTimeout = "timeout"
)

const description = `Exit codes:
   0  done
   1  wrong usage of this command
   2  refused or invalid: nothing was changed
   3  conflict: another change came first
   4  unavailable: no server answered, the store is down, or the outcome
      of a change is not known`

// New returns the fuchsiaspar command with extra commands beside its own.
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
				Usage:   "`host:port` of an entry VM's operator API; repeat it to have others tried in order",
				Value:   []string{DefaultServer},
				Sources: cli.EnvVars("FUCHSIASPAR_SERVER"),
			},
			&cli.BoolFlag{Name: flagJSON, Usage: "print one JSON document instead of tables"},
			&cli.DurationFlag{Name: flagTimeout, Usage: "bound on one call to a server", Value: defaultTimeout},
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
		}, extra...),
	}
	configureErrorHandling(root)
	return root
}

// Run runs a command made by New and returns the exit code of the process.
func Run(ctx context.Context, root *cli.Command, args []string) int {
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	printError(root, err)
	return ExitCode(err)
}

// prepare makes every command report wrong usage as a usageError and leave
// the printing of errors to Run.
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

// helpOrUnknown is the action of a command that only has subcommands.
func showHelpOrUnknown(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		return newUsageError("unknown command %q: see %s --help", name, cmd.FullName())
	}
	return cli.ShowSubcommandHelp(cmd)
}

// usageError reports a command line that can't be understood.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func newUsageError(format string, args ...any) error {
	return errors.WithStack(&usageError{fmt.Sprintf(format, args...)})
}

// argument returns the only argument of a command.
func requireArgument(cmd *cli.Command, name string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", newUsageError("%s takes one argument, %s: see --help", cmd.FullName(), name)
	}
	return cmd.Args().First(), nil
}

// noArguments refuses arguments of a command that takes none.
func requireNoArguments(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return newUsageError("%s takes no argument %q: see --help", cmd.FullName(), cmd.Args().First())
	}
	return nil
}

func outputWriter(cmd *cli.Command) io.Writer { return cmd.Root().Writer }

// progress prints how far a command is, for people only.
func printProgress(cmd *cli.Command, format string, args ...any) {
	if cmd.Bool(flagJSON) {
		return
	}
	fmt.Fprintf(cmd.Root().ErrWriter, format+"\n", args...)
}
