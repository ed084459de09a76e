package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// printResult prints body as JSON with --json, or else calls print to write it
// as text.
func printResult(cmd *cli.Command, body any, print func(io.Writer)) error {
	if !cmd.Bool(flagJSON) {
		print(outputWriter(cmd))
		return nil
	}
	encoder := json.NewEncoder(outputWriter(cmd))
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(body), "print result")
}

// table prints rows in aligned columns under a header.
func table(w io.Writer, header []string, rows [][]string) {
	const padding = 2
	columns := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	fmt.Fprintln(columns, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(columns, strings.Join(row, "\t"))
	}
	_ = columns.Flush()
}

// orDash returns text, or a dash if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// stringOrEmpty returns *p, or an empty string if p is nil.
func stringOrEmpty(p *string) string {
	if p == nil {
		return ""
	}
	return *p
}

// optional returns a pointer to v, or nil if v is the zero value.
func optional[T comparable](v T) *T {
	var zero T
	if v == zero {
		return nil
	}
	return &v
}
