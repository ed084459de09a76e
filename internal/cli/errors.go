package cli

import (
	"encoding/json"
	"fmt"

	gen "fuchsiaspar/gen/operator"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	goahttp "goa.design/goa/v3/http"
)

// Exit codes of the fuchsiaspar command. Scripts rely on them.
const (
	// ExitOK reports success.
	ExitOK = iota
	// ExitUsage reports an invalid command line. Errors without a code of their
	// own have it too.
	ExitUsage
	// ExitRefused reports an invalid or refused change or call.
	ExitRefused
	// ExitConflict reports that another change of the same part was committed
	// first.
	ExitConflict
	// ExitUnavailable reports that no server responded, that the store is down,
	// or that the outcome of a change is unknown.
	ExitUnavailable
)

// exitCodes maps error names of the operator API to exit codes.
var exitCodes = map[string]int{
	"invalid":     ExitRefused,
	"not_found":   ExitRefused,
	"refused":     ExitRefused,
	"conflict":    ExitConflict,
	"unavailable": ExitUnavailable,
	"unresolved":  ExitUnavailable,
}

// unreachableError reports that none of the servers responded. lastErr is the
// error of the last one.
type unreachableError struct {
	servers []string
	lastErr error
}

func (e *unreachableError) Error() string {
	return fmt.Sprintf("no server answered of %v (last: %v): name a live one with --server or FUCHSIASPAR_SERVER", e.servers, e.lastErr)
}

// refusedError is an error found by the command itself, such as a failed dry
// run, an invalid file or a missing item. code is the exit code.
type refusedError struct {
	message string
	code    int
}

func (e *refusedError) Error() string { return e.message }

// ExitCode returns the exit code for an error returned by a command.
func ExitCode(err error) int {
	var (
		failure     *gen.Failure
		refused     *refusedError
		unreachable *unreachableError
		response    *goahttp.ClientError
		coder       cli.ExitCoder
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &failure):
		if code, known := exitCodes[failure.Name]; known {
			return code
		}
		return ExitUnavailable
	case errors.As(err, &refused):
		return refused.code
	case errors.As(err, &unreachable):
		return ExitUnavailable
	case errors.As(err, &response):
		return ExitRefused
	case errors.As(err, &coder):
		return coder.ExitCode()
	default:
		return ExitUsage
	}
}

// failureOutput is the JSON form of an error, printed with --json.
type failureOutput struct {
	Error    string          `json:"error"`
	Name     string          `json:"name"`
	ExitCode int             `json:"exit_code"`
	Problems []problemOutput `json:"problems,omitempty"`
	Refusals []refusalOutput `json:"refusals,omitempty"`
	Conflict *conflictOutput `json:"conflict,omitempty"`
	ChangeID string          `json:"change_id,omitempty"`
}

type problemOutput struct {
	Path    string `json:"path"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

type refusalOutput struct {
	VM     string `json:"vm"`
	Zone   string `json:"zone"`
	Reason string `json:"reason"`
}

type conflictOutput struct {
	Key      string `json:"key"`
	Base     uint64 `json:"base"`
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id"`
	Operator string `json:"operator"`
}

// printError prints err to standard error, or as JSON to standard output with
// --json.
func printError(root *cli.Command, err error) {
	if !root.Bool(flagJSON) {
		fmt.Fprintf(root.ErrWriter, "fuchsiaspar: %v\n", errorMessage(err))
		return
	}
	encoder := json.NewEncoder(root.Writer)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(toFailureOutput(err))
}

// errorMessage returns the message of an error. If the outcome of a change is
// unknown, the message says how to retry it.
func errorMessage(err error) string {
	var failure *gen.Failure
	if !errors.As(err, &failure) {
		return err.Error()
	}
	if failure.Name == "unresolved" && failure.ChangeID != nil {
		return fmt.Sprintf("%s\nrun the same command again with --id %s", failure.Message, *failure.ChangeID)
	}
	return failure.Message
}

func toFailureOutput(err error) failureOutput {
	output := failureOutput{Error: err.Error(), Name: "usage", ExitCode: ExitCode(err)}
	if output.ExitCode == ExitUnavailable {
		output.Name = "unavailable"
	}
	if output.ExitCode == ExitRefused {
		output.Name = "refused"
	}
	var failure *gen.Failure
	if !errors.As(err, &failure) {
		return output
	}
	output.Name = failure.Name
	output.Error = errorMessage(err)
	output.Problems = problemOutputs(failure.Problems)
	output.Refusals = refusalOutputs(failure.Refusals)
	output.Conflict = toConflictOutput(failure.Conflict)
	if failure.ChangeID != nil {
		output.ChangeID = *failure.ChangeID
	}
	return output
}

func problemOutputs(problems []*gen.Problem) []problemOutput {
	var out []problemOutput
	for _, p := range problems {
		out = append(out, problemOutput{p.Path, p.Value, p.Allowed})
	}
	return out
}

func refusalOutputs(refusals []*gen.VMRefusal) []refusalOutput {
	var out []refusalOutput
	for _, r := range refusals {
		out = append(out, refusalOutput{r.VM, r.Zone, r.Reason})
	}
	return out
}

func toConflictOutput(c *gen.Conflict) *conflictOutput {
	if c == nil {
		return nil
	}
	return &conflictOutput{c.Key, c.Base, c.Revision, c.ChangeID, c.Operator}
}
