package cli

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"fuchsiaspar/gen/http/operator/server"
	gen "fuchsiaspar/gen/operator"

	"github.com/urfave/cli/v3"
)

// explainLimit is the default of --limit.
const explainLimit = 50

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "show the state of every entry VM",
		Action: showStatus,
	}
}

func showStatus(ctx context.Context, cmd *cli.Command) error {
	if err := requireNoArguments(cmd); err != nil {
		return err
	}
	result, err := call(ctx, cmd, func(ctx context.Context, c *gen.Client) (*gen.StatusResult, error) {
		return c.Status(ctx)
	})
	if err != nil {
		return err
	}
	return printResult(cmd, server.NewStatusResponseBody(result), func(w io.Writer) { printStatus(w, result) })
}

func printStatus(w io.Writer, result *gen.StatusResult) {
	fmt.Fprintf(w, "revision %d, %s, as seen from %s\n", result.Revision, formatConfirmation(result.Confirmed), result.AnsweredBy)
	var rows [][]string
	for _, vm := range result.Vms {
		rows = append(rows, []string{
			vm.VM, vm.Zone, vm.Region, vm.State, strconv.FormatUint(vm.Revision, 10), formatRowConfirmation(vm),
			vm.Incarnation, orDash(vm.Address), orDash(formatLoad(vm.Load)),
		})
	}
	table(w, []string{"VM", "ZONE", "REGION", "STATE", "REVISION", "CONFIGURATION", "INCARNATION", "ADDRESS", "LOAD (BUSY/SLOTS+QUEUED)"}, rows)
}

func formatConfirmation(confirmed bool) string {
	if confirmed {
		return "confirmed"
	}
	return "isolated"
}

// formatRowConfirmation returns whether a VM's configuration is confirmed, or
// "no answer" for a VM that did not respond: only the VM itself knows.
func formatRowConfirmation(vm *gen.VMStatus) string {
	if !vm.Answered {
		return "no answer"
	}
	return formatConfirmation(vm.Confirmed)
}

// formatLoad formats each service's load as BUSY/SLOTS+QUEUED.
func formatLoad(services []*gen.ServiceLoad) string {
	var texts []string
	for _, s := range services {
		texts = append(texts, fmt.Sprintf("%s %d/%d+%d", s.Service, s.Busy, s.Slots, s.Queued))
	}
	return strings.Join(texts, ", ")
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show recent decisions and their reasons, or with --log those about one request",
		ArgsUsage: "[REQUEST-ID]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "kind", Usage: "`kind` of decision, such as refusal, retry, shift, adoption or drain"},
			&cli.StringFlag{Name: "reason", Usage: "`reason` code, as in the Fuchsiaspar-Reason header"},
			&cli.StringFlag{Name: flagAccount, Usage: "client `account`"},
			&cli.StringFlag{Name: "service", Usage: "`service`"},
			&cli.StringFlag{Name: "zone", Usage: "availability `zone`"},
			&cli.StringFlag{Name: "request", Usage: "ID of an `attempt` of a request"},
			&cli.IntFlag{Name: flagLimit, Usage: "maximum `number` of decisions", Value: explainLimit},
			&cli.StringFlag{Name: flagLog, Usage: "read entry VM logs from `FILE`, or - for standard input, instead of querying an entry VM"},
		},
		Action: explainDecisions,
	}
}

func explainDecisions(ctx context.Context, cmd *cli.Command) error {
	if path := cmd.String(flagLog); path != "" {
		return explainFromLogs(cmd, path)
	}
	if err := requireNoArguments(cmd); err != nil {
		return err
	}
	payload := &gen.ExplainPayload{
		Kind:    optional(cmd.String("kind")),
		Reason:  optional(cmd.String("reason")),
		Account: optional(cmd.String(flagAccount)),
		Service: optional(cmd.String("service")),
		Zone:    optional(cmd.String("zone")),
		Request: optional(cmd.String("request")),
		Limit:   cmd.Int(flagLimit),
	}
	result, err := call(ctx, cmd, func(ctx context.Context, c *gen.Client) (*gen.ExplainResult, error) {
		return c.Explain(ctx, payload)
	})
	if err != nil {
		return err
	}
	return printResult(cmd, server.NewExplainResponseBody(result), func(w io.Writer) { printDecisions(w, result.Decisions) })
}

func printDecisions(w io.Writer, decisions []*gen.DecisionInfo) {
	var rows [][]string
	for _, d := range decisions {
		rows = append(rows, []string{
			d.At, d.VM, d.Kind, orDash(stringOrEmpty(d.Reason)), strconv.FormatUint(d.Revision, 10), orDash(stringOrEmpty(d.Account)),
			orDash(stringOrEmpty(d.Service)), orDash(stringOrEmpty(d.Priority)), orDash(stringOrEmpty(d.Zone)), stringOrEmpty(d.Detail),
		})
	}
	table(w, []string{"TIME", "VM", "KIND", "REASON", "REVISION", "ACCOUNT", "SERVICE", "PRIORITY", "ZONE", "WHY"}, rows)
}

func lookupCommand() *cli.Command {
	return &cli.Command{
		Name:      "lookup",
		Usage:     "show the entry VMs that a lookup returns for a client, and why",
		ArgsUsage: "ACCOUNT SERVICE CLIENT-IP",
		Action:    showLookup,
	}
}

func showLookup(ctx context.Context, cmd *cli.Command) error {
	const argCount = 3
	args := cmd.Args().Slice()
	if len(args) != argCount {
		return newUsageError("lookup takes an account, a service and the client's IP address: see --help")
	}
	payload := &gen.LookupPayload{Account: args[0], Service: args[1], Client: args[2]}
	result, err := call(ctx, cmd, func(ctx context.Context, c *gen.Client) (*gen.LookupResult, error) {
		return c.Lookup(ctx, payload)
	})
	if err != nil {
		return err
	}
	return printResult(cmd, server.NewLookupResponseBody(result), func(w io.Writer) { printLookup(w, result) })
}

func printLookup(w io.Writer, result *gen.LookupResult) {
	ttl := time.Duration(result.TTLMs) * time.Millisecond
	fmt.Fprintf(w, "block %s, revision %d, valid for %s\n", orDash(stringOrEmpty(result.Block)), result.Revision, ttl)
	var rows [][]string
	for _, e := range result.Entries {
		rows = append(rows, []string{e.VM, e.Zone, e.Address})
	}
	table(w, []string{"VM", "ZONE", "ADDRESS"}, rows)
	for _, why := range result.Why {
		fmt.Fprintln(w, why)
	}
}
