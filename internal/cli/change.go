package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"fuchsiaspar/gen/http/operator/server"
	gen "fuchsiaspar/gen/operator"
	"fuchsiaspar/internal/config"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Names of the flags that every configuration-changing command accepts.
const (
	flagDryRun      = "dry-run"
	flagOperator    = "operator"
	flagBase        = "base"
	flagID          = "id"
	flagExcludeVM   = "exclude-vm"
	flagExcludeZone = "exclude-zone"
)

// Polling interval and time limit of waitUntilInForce.
const (
	inForcePollInterval = time.Second
	inForceTimeout      = 15 * time.Second
)

// changeFlags returns own followed by the flags that every
// configuration-changing command accepts.
func changeFlags(own ...cli.Flag) []cli.Flag {
	return append(own,
		&cli.BoolFlag{Name: flagDryRun, Usage: "print what would change and which entry VMs must acknowledge it, without changing anything"},
		&cli.StringFlag{Name: flagOperator, Usage: "`name` of the operator who makes the change", Sources: cli.EnvVars("FUCHSIASPAR_OPERATOR", "USER")},
		&cli.Uint64Flag{Name: flagBase, Usage: "`revision` that the change is based on; a later edit of the same part is a conflict"},
		&cli.StringFlag{Name: flagID, Usage: "`id` of the change; pass it again to retry a change whose outcome is unknown"},
		&cli.StringSliceFlag{Name: flagExcludeVM, Usage: "unreachable or dead entry `VM` that need not acknowledge the change"},
		&cli.StringSliceFlag{Name: flagExcludeZone, Usage: "unreachable or dead availability `zone` whose entry VMs need not acknowledge the change"},
	)
}

// newRequest returns a change request with the options set by the command's
// flags. It generates a change ID if no --id was given.
func newRequest(cmd *cli.Command, text, format string) *gen.ChangeRequest {
	id := cmd.String(flagID)
	if id == "" {
		id = newChangeID()
	}
	return &gen.ChangeRequest{
		Text:         text,
		Format:       format,
		ID:           &id,
		Operator:     optional(cmd.String(flagOperator)),
		Base:         optional(cmd.Uint64(flagBase)),
		ExcludeVms:   cmd.StringSlice(flagExcludeVM),
		ExcludeZones: cmd.StringSlice(flagExcludeZone),
	}
}

// newChangeID returns 64 random bits in hexadecimal.
func newChangeID() string {
	const idBytes = 8
	id := make([]byte, idBytes)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// requestForChange encodes a change that a command built itself as a request.
func requestForChange(cmd *cli.Command, change config.Change) (*gen.ChangeRequest, error) {
	encoded, err := json.Marshal(change)
	if err != nil {
		return nil, errors.Wrap(err, "encode change")
	}
	return newRequest(cmd, string(encoded), "json"), nil
}

// submitChange submits a change that a command built itself.
func submitChange(ctx context.Context, cmd *cli.Command, change config.Change) error {
	req, err := requestForChange(cmd, change)
	if err != nil {
		return err
	}
	return submit(ctx, cmd, req)
}

// submit applies a change and waits until it is in force, or runs a dry run if
// --dry-run is set.
func submit(ctx context.Context, cmd *cli.Command, req *gen.ChangeRequest) error {
	if cmd.Bool(flagDryRun) {
		return dryRun(ctx, cmd, req)
	}
	printProgress(cmd, "change %s: waiting for every entry VM to acknowledge", *req.ID)
	result, err := call(ctx, cmd, func(ctx context.Context, c *gen.Client) (*gen.ApplyResult, error) {
		return c.Apply(ctx, req)
	})
	if err != nil {
		return err
	}
	result.Pending = waitUntilInForce(ctx, cmd, result)
	return printResult(cmd, server.NewApplyResponseBody(result), func(w io.Writer) { printApplied(w, result) })
}

// waitUntilInForce polls the status until every pending entry VM has the change
// in force or inForceTimeout has passed. It returns the VMs that are still
// pending.
func waitUntilInForce(ctx context.Context, cmd *cli.Command, result *gen.ApplyResult) []string {
	pending := result.Pending
	deadline := time.Now().Add(inForceTimeout)
	for len(pending) > 0 && time.Now().Before(deadline) {
		printProgress(cmd, "revision %d: not yet in force at %s", result.Revision, strings.Join(pending, ", "))
		if !sleep(ctx, inForcePollInterval) {
			break
		}
		pending = stillPending(ctx, cmd, pending, result.Revision)
	}
	return pending
}

// stillPending returns the pending VMs whose revision is older than the given
// one. It returns all of them if the status can't be read.
func stillPending(ctx context.Context, cmd *cli.Command, pending []string, revision uint64) []string {
	status, err := call(ctx, cmd, func(ctx context.Context, c *gen.Client) (*gen.StatusResult, error) {
		return c.Status(ctx)
	})
	if err != nil {
		return pending
	}
	return slices.DeleteFunc(slices.Clone(pending), func(vm string) bool {
		return slices.ContainsFunc(status.Vms, func(row *gen.VMStatus) bool {
			return row.VM == vm && row.Revision >= revision
		})
	})
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func printApplied(w io.Writer, result *gen.ApplyResult) {
	fmt.Fprintf(w, "revision %d committed by change %s\n", result.Revision, result.ChangeID)
	if result.Rebased {
		fmt.Fprintln(w, "other changes came before it; they edited other parts")
	}
	if len(result.Skipped) > 0 {
		fmt.Fprintf(w, "not asked, adopt it before they rejoin: %s\n", strings.Join(result.Skipped, ", "))
	}
	if len(result.Pending) > 0 {
		fmt.Fprintf(w, "not yet in force at %s: run fuchsiaspar status\n", strings.Join(result.Pending, ", "))
		return
	}
	fmt.Fprintln(w, "in force at every entry VM that acknowledged it")
}

func dryRun(ctx context.Context, cmd *cli.Command, req *gen.ChangeRequest) error {
	result, err := call(ctx, cmd, func(ctx context.Context, c *gen.Client) (*gen.DryRunResult, error) {
		return c.DryRun(ctx, req)
	})
	if err != nil {
		return err
	}
	body := server.NewDryRunResponseBody(result)
	if err := printResult(cmd, body, func(w io.Writer) { printDryRun(w, result) }); err != nil {
		return err
	}
	return dryRunError(result)
}

// dryRunError returns an error with the exit code that the change itself would
// have caused, or nil if it would succeed.
func dryRunError(result *gen.DryRunResult) error {
	if result.Conflict != nil {
		return &refusedError{message: "dry run: another change came first", code: ExitConflict}
	}
	if !result.OK {
		return &refusedError{message: "dry run: the change would be refused", code: ExitRefused}
	}
	return nil
}

func printDryRun(w io.Writer, result *gen.DryRunResult) {
	fmt.Fprintf(w, "dry run on revision %d, nothing was changed\n", result.Base)
	printDifferences(w, result.Differences)
	for _, p := range result.Problems {
		fmt.Fprintf(w, "problem: %s: %q is not allowed: want %s\n", p.Path, p.Value, p.Allowed)
	}
	for _, r := range result.Refusals {
		fmt.Fprintf(w, "refusal: %s (zone %s): %s\n", r.VM, r.Zone, r.Reason)
	}
	if c := result.Conflict; c != nil {
		fmt.Fprintf(w, "conflict: %s was edited by change %s of %s in revision %d\n", c.Key, c.ChangeID, c.Operator, c.Revision)
	}
	fmt.Fprintf(w, "must acknowledge: %s\n", orDash(strings.Join(result.Required, ", ")))
	if len(result.Skipped) > 0 {
		fmt.Fprintf(w, "need not acknowledge: %s\n", strings.Join(result.Skipped, ", "))
	}
}

func printDifferences(w io.Writer, differences []*gen.Difference) {
	if len(differences) == 0 {
		fmt.Fprintln(w, "no difference")
	}
	for _, d := range differences {
		fmt.Fprintln(w, config.Difference{
			Path: d.Path,
			Kind: config.DifferenceKind(d.Kind),
			Old:  stringOrEmpty(d.Old),
			New:  stringOrEmpty(d.New),
		})
	}
}

// readFile returns the content of a file, or of standard input if name is "-".
func readFile(cmd *cli.Command, name string) (string, error) {
	if name == "-" {
		content, err := io.ReadAll(cmd.Root().Reader)
		return string(content), errors.Wrap(err, "read standard input")
	}
	content, err := os.ReadFile(name)
	if err != nil {
		return "", newUsageError("can't read the file: %v", err)
	}
	return string(content), nil
}

// readChange parses the TOML file named by the command's argument as a change.
func readChange(cmd *cli.Command) (*config.Change, error) {
	name, err := requireArgument(cmd, "FILE")
	if err != nil {
		return nil, err
	}
	content, err := readFile(cmd, name)
	if err != nil {
		return nil, err
	}
	change, err := config.ParseChangeTOML([]byte(content))
	if err != nil {
		return nil, &refusedError{message: fmt.Sprintf("%s: %v", name, err), code: ExitRefused}
	}
	return change, nil
}
