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

// Names of flags of the account commands.
const (
	flagTemplate = "template"
	flagShiftCap = "shift-cap"
	flagWeight   = "weight"
	flagRank     = "rank"
)

func templateCommand() *cli.Command {
	return &cli.Command{
		Name:  "template",
		Usage: "show and change the templates of services",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the templates", Action: templateList},
			{Name: "show", Usage: "print a template", ArgsUsage: "NAME", Action: templateShow},
			{
				Name:        "apply",
				Usage:       "add or replace the templates in a file",
				ArgsUsage:   "FILE",
				Description: "FILE holds [[templates]] tables as template show prints them. - reads standard input.",
				Flags:       changeFlags(),
				Action:      templateApply,
			},
			{Name: "delete", Usage: "delete a template", ArgsUsage: "NAME", Flags: changeFlags(), Action: templateDelete},
		},
	}
}

func templateList(ctx context.Context, cmd *cli.Command) error {
	if err := noArguments(cmd); err != nil {
		return err
	}
	doc, err := document(ctx, cmd)
	if err != nil {
		return err
	}
	return show(cmd, doc.Templates, func(w io.Writer) {
		var rows [][]string
		for _, t := range doc.Templates {
			rows = append(rows, []string{t.Name, string(t.Service), strconv.Itoa(len(t.Classes)), joined(t.Places)})
		}
		table(w, []string{"TEMPLATE", "SERVICE", "CLASSES", "PLACES"}, rows)
	})
}

func joined[T ~string](items []T) string {
	texts := make([]string, len(items))
	for i, item := range items {
		texts[i] = string(item)
	}
	return strings.Join(texts, ",")
}

func templateShow(ctx context.Context, cmd *cli.Command) error {
	name, err := argument(cmd, "NAME")
	if err != nil {
		return err
	}
	doc, err := document(ctx, cmd)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(doc.Templates, func(t config.Template) bool { return t.Name == name })
	if i < 0 {
		return missing("template", name)
	}
	return showPart(cmd, doc.Templates[i], config.Change{Templates: doc.Templates[i : i+1]})
}

// missing reports an item that the configuration in force lacks.
func missing(kind, name string) error {
	message := fmt.Sprintf("there is no %s %q: run fuchsiaspar %s list", kind, name, kind)
	return &refusedError{message: message, code: ExitRefused}
}

// showPart prints an item as JSON, or as the TOML that apply reads.
func showPart(cmd *cli.Command, item any, part config.Change) error {
	encoded, err := config.MarshalChangeTOML(&part)
	if err != nil {
		return err
	}
	return show(cmd, item, func(w io.Writer) { _, _ = w.Write(encoded) })
}

func templateApply(ctx context.Context, cmd *cli.Command) error {
	change, err := readChange(cmd)
	if err != nil {
		return err
	}
	if len(change.Templates) == 0 || len(change.Templates) != len(change.Keys()) {
		return usage("the file must hold [[templates]] only: use config apply --change for other parts")
	}
	return submitChange(ctx, cmd, *change)
}

func templateDelete(ctx context.Context, cmd *cli.Command) error {
	name, err := argument(cmd, "NAME")
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
			{Name: "list", Usage: "list the client accounts", Action: accountList},
			{Name: "show", Usage: "print a client account", ArgsUsage: "ID", Action: accountShow},
			{
				Name:        "apply",
				Usage:       "add or replace the client accounts in a file",
				ArgsUsage:   "FILE",
				Description: "FILE holds [[accounts]] tables as account show prints them. - reads standard input.",
				Flags:       changeFlags(),
				Action:      accountApply,
			},
			{
				Name:      "set",
				Usage:     "set parameters of one client account",
				ArgsUsage: "ID",
				Flags: changeFlags(
					&cli.StringFlag{Name: flagTemplate, Usage: "`template` whose parameters to set", Required: true},
					&cli.Int64Flag{Name: flagShiftCap, Usage: "`requests` a second that may leave one place for others"},
					&cli.Int64Flag{Name: flagWeight, Usage: "`share` within one priority"},
					&cli.StringSliceFlag{Name: flagRank, Usage: "`class=priority` for one class of requests"},
				),
				Action: accountSet,
			},
			{Name: "delete", Usage: "delete a client account", ArgsUsage: "ID", Flags: changeFlags(), Action: accountDelete},
		},
	}
}

func accountList(ctx context.Context, cmd *cli.Command) error {
	if err := noArguments(cmd); err != nil {
		return err
	}
	doc, err := document(ctx, cmd)
	if err != nil {
		return err
	}
	return show(cmd, doc.Accounts, func(w io.Writer) {
		var rows [][]string
		for _, a := range doc.Accounts {
			rows = append(rows, accountRows(a)...)
		}
		table(w, []string{"ACCOUNT", "TEMPLATE", "SHIFT CAP", "WEIGHT", "RANKS", "BLOCKS"}, rows)
	})
}

// accountRows returns one row for each service of an account.
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
			parameter(s.ShiftCap),
			parameter(s.Weight),
			orDash(strings.Join(ranks, ",")),
			strconv.Itoa(len(a.Blocks)),
		})
	}
	return rows
}

func parameter(value *int64) string {
	if value == nil {
		return "default"
	}
	return strconv.FormatInt(*value, 10)
}

func accountShow(ctx context.Context, cmd *cli.Command) error {
	doc, at, err := findAccount(ctx, cmd)
	if err != nil {
		return err
	}
	return showPart(cmd, doc.Accounts[at], config.Change{Accounts: doc.Accounts[at : at+1]})
}

// findAccount fetches the configuration and finds the account that the
// argument names in it.
func findAccount(ctx context.Context, cmd *cli.Command) (*config.Document, int, error) {
	id, err := argument(cmd, "ID")
	if err != nil {
		return nil, 0, err
	}
	doc, err := document(ctx, cmd)
	if err != nil {
		return nil, 0, err
	}
	at := slices.IndexFunc(doc.Accounts, func(a config.Account) bool { return string(a.ID) == id })
	if at < 0 {
		return nil, 0, missing("account", id)
	}
	return doc, at, nil
}

func accountApply(ctx context.Context, cmd *cli.Command) error {
	change, err := readChange(cmd)
	if err != nil {
		return err
	}
	if len(change.Accounts) == 0 || len(change.Accounts) != len(change.Keys()) {
		return usage("the file must hold [[accounts]] only: use config apply --change for other parts")
	}
	return submitChange(ctx, cmd, *change)
}

func accountSet(ctx context.Context, cmd *cli.Command) error {
	ranks, err := parseRanks(cmd.StringSlice(flagRank))
	if err != nil {
		return err
	}
	doc, at, err := findAccount(ctx, cmd)
	if err != nil {
		return err
	}
	account := doc.Accounts[at]
	setParameters(cmd, &account, ranks)
	return submitChange(ctx, cmd, config.Change{Base: doc.Revision, Accounts: []config.Account{account}})
}

func parseRanks(texts []string) ([]config.ClassPriority, error) {
	var ranks []config.ClassPriority
	for _, t := range texts {
		class, name, ok := strings.Cut(t, "=")
		priority, err := model.ParsePriority(name)
		if !ok || err != nil {
			return nil, usage("--%s %q: want class=urgent, class=normal or class=bulk", flagRank, t)
		}
		ranks = append(ranks, config.ClassPriority{Class: class, Priority: priority})
	}
	return ranks, nil
}

// setParameters sets those parameters of an account that flags name.
func setParameters(cmd *cli.Command, account *config.Account, ranks []config.ClassPriority) {
	params := serviceOf(account, cmd.String(flagTemplate))
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

// serviceOf returns the account's parameters of a template, added if absent.
func serviceOf(account *config.Account, template string) *config.AccountService {
	for i := range account.Services {
		if account.Services[i].Template == template {
			return &account.Services[i]
		}
	}
	account.Services = append(account.Services, config.AccountService{Template: template})
	return &account.Services[len(account.Services)-1]
}

func accountDelete(ctx context.Context, cmd *cli.Command) error {
	id, err := argument(cmd, "ID")
	if err != nil {
		return err
	}
	return submitChange(ctx, cmd, config.Change{DeleteAccounts: []model.AccountID{model.AccountID(id)}})
}
