package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"

	"github.com/urfave/cli/v3"
)

// Names of the flags of the account commands.
const (
	flagTemplate = "template"
	flagShiftCap = "shift-cap"
	flagWeight   = "weight"
	flagRank     = "rank"
)

func templateCommand() *cli.Command {
	return &cli.Command{
		Name:  "template",
		Usage: "show and change service templates",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list templates", Action: templateList},
			{Name: "show", Usage: "print a template", ArgsUsage: "NAME", Action: templateShow},
			{
				Name:        "apply",
				Usage:       "add or replace the templates defined in a file",
				ArgsUsage:   "FILE",
				Description: "FILE contains [[templates]] tables as printed by template show. - reads standard input.",
				Flags:       changeFlags(),
				Action:      templateApply,
			},
			{Name: "delete", Usage: "delete a template", ArgsUsage: "NAME", Flags: changeFlags(), Action: templateDelete},
		},
	}
}

func templateList(ctx context.Context, cmd *cli.Command) error {
	if err := requireNoArguments(cmd); err != nil {
		return err
	}
	doc, err := fetchDocument(ctx, cmd)
	if err != nil {
		return err
	}
	return printResult(cmd, doc.Templates, func(w io.Writer) {
		var rows [][]string
		for _, t := range doc.Templates {
			rows = append(rows, []string{t.Name, string(t.Service), strconv.Itoa(len(t.Classes)), joinStrings(t.Places)})
		}
		table(w, []string{"TEMPLATE", "SERVICE", "CLASSES", "PLACES"}, rows)
	})
}

func joinStrings[T ~string](items []T) string {
	texts := make([]string, len(items))
	for i, item := range items {
		texts[i] = string(item)
	}
	return strings.Join(texts, ",")
}

func templateShow(ctx context.Context, cmd *cli.Command) error {
	name, err := requireArgument(cmd, "NAME")
	if err != nil {
		return err
	}
	doc, err := fetchDocument(ctx, cmd)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(doc.Templates, func(t config.Template) bool { return t.Name == name })
	if i < 0 {
		return notFound("template", name)
	}
	return showPart(cmd, doc.Templates[i], config.Change{Templates: doc.Templates[i : i+1]})
}

// notFound returns an error for an item that the configuration in force does not
// contain.
func notFound(kind, name string) error {
	message := fmt.Sprintf("there is no %s %q: run fuchsiaspar %s list", kind, name, kind)
	return &refusedError{message: message, code: ExitRefused}
}

// showPart prints item as JSON with --json, or else change as TOML in the format
// that the apply commands read.
func showPart(cmd *cli.Command, item any, change config.Change) error {
	encoded, err := config.MarshalChangeTOML(&change)
	if err != nil {
		return err
	}
	return printResult(cmd, item, func(w io.Writer) { _, _ = w.Write(encoded) })
}

func templateApply(ctx context.Context, cmd *cli.Command) error {
	change, err := readChange(cmd)
	if err != nil {
		return err
	}
	if len(change.Templates) == 0 || len(change.Templates) != len(change.Keys()) {
		return newUsageError("the file must hold [[templates]] only: use config apply --change for other parts")
	}
	return submitChange(ctx, cmd, *change)
}

func templateDelete(ctx context.Context, cmd *cli.Command) error {
	name, err := requireArgument(cmd, "NAME")
	if err != nil {
		return err
	}
	return submitChange(ctx, cmd, config.Change{DeleteTemplates: []string{name}})
}

func accountCommand() *cli.Command {
	return &cli.Command{
		Name:  "account",
		Usage: "show and change client accounts",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list client accounts", Action: accountList},
			{Name: "show", Usage: "print a client account", ArgsUsage: "ID", Action: accountShow},
			{
				Name:        "apply",
				Usage:       "add or replace the client accounts defined in a file",
				ArgsUsage:   "FILE",
				Description: "FILE contains [[accounts]] tables as printed by account show. - reads standard input.",
				Flags:       changeFlags(),
				Action:      accountApply,
			},
			{
				Name:      "set",
				Usage:     "set parameters of a client account",
				ArgsUsage: "ID",
				Flags: changeFlags(
					&cli.StringFlag{Name: flagTemplate, Usage: "`template` of the service whose parameters are set", Required: true},
					&cli.Int64Flag{Name: flagShiftCap, Usage: "maximum `requests` per second that may shift from one place to others"},
					&cli.Int64Flag{Name: flagWeight, Usage: "`weight` of the account among those of the same priority"},
					&cli.StringSliceFlag{Name: flagRank, Usage: "`class=priority` to set the priority of a request class; repeat the flag for more classes"},
				),
				Action: accountSet,
			},
			{Name: "delete", Usage: "delete a client account", ArgsUsage: "ID", Flags: changeFlags(), Action: accountDelete},
		},
	}
}

func accountList(ctx context.Context, cmd *cli.Command) error {
	if err := requireNoArguments(cmd); err != nil {
		return err
	}
	doc, err := fetchDocument(ctx, cmd)
	if err != nil {
		return err
	}
	return printResult(cmd, doc.Accounts, func(w io.Writer) {
		var rows [][]string
		for _, a := range doc.Accounts {
			rows = append(rows, accountRows(a)...)
		}
		table(w, []string{"ACCOUNT", "TEMPLATE", "SHIFT CAP", "WEIGHT", "RANKS", "BLOCKS"}, rows)
	})
}

// accountRows returns one table row per service of an account.
func accountRows(a config.Account) [][]string {
	var rows [][]string
	for _, s := range a.Services {
		var ranks []string
		for _, r := range s.Classes {
			ranks = append(ranks, r.Class+"="+r.Priority.String())
		}
		rows = append(rows, []string{
			string(a.ID),
			s.Template,
			formatParameter(s.ShiftCap),
			formatParameter(s.Weight),
			orDash(strings.Join(ranks, ",")),
			strconv.Itoa(len(a.Blocks)),
		})
	}
	return rows
}

// formatParameter formats an optional parameter; nil means the template's
// default.
func formatParameter(value *int64) string {
	if value == nil {
		return "default"
	}
	return strconv.FormatInt(*value, 10)
}

func accountShow(ctx context.Context, cmd *cli.Command) error {
	doc, index, err := findAccount(ctx, cmd)
	if err != nil {
		return err
	}
	return showPart(cmd, doc.Accounts[index], config.Change{Accounts: doc.Accounts[index : index+1]})
}

// findAccount returns the configuration in force and the index in it of the
// account named by the command's argument.
func findAccount(ctx context.Context, cmd *cli.Command) (*config.Document, int, error) {
	id, err := requireArgument(cmd, "ID")
	if err != nil {
		return nil, 0, err
	}
	doc, err := fetchDocument(ctx, cmd)
	if err != nil {
		return nil, 0, err
	}
	index := slices.IndexFunc(doc.Accounts, func(a config.Account) bool { return string(a.ID) == id })
	if index < 0 {
		return nil, 0, notFound("account", id)
	}
	return doc, index, nil
}

func accountApply(ctx context.Context, cmd *cli.Command) error {
	change, err := readChange(cmd)
	if err != nil {
		return err
	}
	if len(change.Accounts) == 0 || len(change.Accounts) != len(change.Keys()) {
		return newUsageError("the file must hold [[accounts]] only: use config apply --change for other parts")
	}
	return submitChange(ctx, cmd, *change)
}

func accountSet(ctx context.Context, cmd *cli.Command) error {
	ranks, err := parseRanks(cmd.StringSlice(flagRank))
	if err != nil {
		return err
	}
	doc, index, err := findAccount(ctx, cmd)
	if err != nil {
		return err
	}
	account := doc.Accounts[index]
	setParameters(cmd, &account, ranks)
	return submitChange(ctx, cmd, config.Change{Base: doc.Revision, Accounts: []config.Account{account}})
}

// parseRanks parses the CLASS=PRIORITY values of --rank.
func parseRanks(texts []string) ([]config.ClassPriority, error) {
	var ranks []config.ClassPriority
	for _, t := range texts {
		class, name, ok := strings.Cut(t, "=")
		priority, err := model.ParsePriority(name)
		if !ok || err != nil {
			return nil, newUsageError("--%s %q: want class=urgent, class=normal or class=bulk", flagRank, t)
		}
		ranks = append(ranks, config.ClassPriority{Class: class, Priority: priority})
	}
	return ranks, nil
}

// setParameters updates the account's parameters for which a flag is set. ranks
// replace the priorities of their classes; other classes keep theirs.
func setParameters(cmd *cli.Command, account *config.Account, ranks []config.ClassPriority) {
	params := findOrAddService(account, cmd.String(flagTemplate))
	if cmd.IsSet(flagShiftCap) {
		value := cmd.Int64(flagShiftCap)
		params.ShiftCap = &value
	}
	if cmd.IsSet(flagWeight) {
		value := cmd.Int64(flagWeight)
		params.Weight = &value
	}
	for _, rank := range ranks {
		params.Classes = slices.DeleteFunc(params.Classes, func(r config.ClassPriority) bool { return r.Class == rank.Class })
		params.Classes = append(params.Classes, rank)
	}
}

// findOrAddService returns the account's parameters for a template, adding an
// empty entry if there is none.
func findOrAddService(account *config.Account, template string) *config.AccountService {
	for i := range account.Services {
		if account.Services[i].Template == template {
			return &account.Services[i]
		}
	}
	account.Services = append(account.Services, config.AccountService{Template: template})
	return &account.Services[len(account.Services)-1]
}

func accountDelete(ctx context.Context, cmd *cli.Command) error {
	id, err := requireArgument(cmd, "ID")
	if err != nil {
		return err
	}
	return submitChange(ctx, cmd, config.Change{DeleteAccounts: []model.AccountID{model.AccountID(id)}})
}
