package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"fuchsiaspar/internal/node"
	"fuchsiaspar/internal/platform/kvstore"
	"fuchsiaspar/internal/settings"
	"fuchsiaspar/platform"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes of the process. Run documents them.
const (
	exitOK          = 0
	exitBadSettings = 1
	exitFailure     = 2
)

// ErrSuperseded reports that the process stopped because a newer process runs
// under the same VM name.
var ErrSuperseded = errors.New("superseded: a newer process runs under the same VM name")

// startTimeout bounds the startup of all services together.
const startTimeout = 30 * time.Second

// Run is the entry point of the process. It loads the settings file named in
// args, starts the daemon, serves until ctx is cancelled and then shuts down
// gracefully. Errors and log lines go to out. It returns the exit code: 0 after
// a graceful shutdown, 1 for invalid settings or arguments, 2 for a failure.
func Run(ctx context.Context, args []string, out io.Writer) int {
	code := exitOK
	command := &cli.Command{
		Name:      "fuchsiaspard",
		Usage:     "steer traffic on one entry VM",
		Writer:    out,
		ErrWriter: out,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "`FILE` with this process's settings"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if !c.IsSet("settings") {
				return errors.New(`Required flag "settings" not set`)
			}
			code = runFile(ctx, c.String("settings"), c.Bool("check"), out)
			return nil
		},
		Commands: []*cli.Command{platformCommand(ctx, out, &code)},
	}
	if err := command.Run(ctx, args); err != nil {
		_, _ = io.WriteString(out, err.Error()+"\n")
		return exitBadSettings
	}
	return code
}

// platformCommand returns the subcommand that runs an entry VM with the
// settings file written by the platform.
func platformCommand(ctx context.Context, out io.Writer, code *int) *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run as an entry VM on the users' platform; " + platform.SettingsFileEnv + " names the settings",
		Action: func(context.Context, *cli.Command) error {
			if err := node.Run(ctx, os.Getenv(platform.SettingsFileEnv), os.Stdout); err != nil {
				_, _ = io.WriteString(out, err.Error()+"\n")
				*code = exitFailure
			}
			return nil
		},
	}
}

func runFile(ctx context.Context, path string, checkOnly bool, out io.Writer) int {
	s, err := settings.Load(path)
	if err != nil {
		_, _ = io.WriteString(out, err.Error()+"\n")
		return exitBadSettings
	}
	if checkOnly {
		return exitOK
	}
	logger := newLogger(s, out)
	if err := serve(ctx, s, logger); err != nil {
		logger.Error("failed", "err", err)
		return exitFailure
	}
	return exitOK
}

func newLogger(s settings.Settings, out io.Writer) *log.Logger {
	logger := log.NewWithOptions(out, log.Options{
		Formatter:       log.LogfmtFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	})
	if level, err := log.ParseLevel(s.Log.Level); err == nil {
		logger.SetLevel(level)
	}
	return logger.With("vm", string(s.VM.Name))
}

// serve runs a daemon until ctx is cancelled and then shuts it down
// gracefully. It returns ErrSuperseded if a newer process takes over.
func serve(ctx context.Context, s settings.Settings, logger *log.Logger) error {
	client := platform.NewClient(s.Platform.Address, nil)
	defer client.Close()
	store := kvstore.New(client, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), logger)
	d, err := New(s, Deps{Store: store, VMs: store, Logger: logger})
	if err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.Start(startCtx); err != nil {
		return errors.Wrap(err, "start")
	}
	logger.Info("started", "zone", s.VM.Zone, "region", s.VM.Region, "address", s.VM.Listen)
	select {
	case <-d.superseded:
		return ErrSuperseded
	case <-ctx.Done():
		return d.Stop(context.WithoutCancel(ctx))
	}
}
