// Command fuchsiaspar is the operators' command line.
package main

import (
	"context"
	"fmt"
	"os"

	"fuchsiaspar/internal/demo"

	"github.com/urfave/cli/v3"
)

func main() {
	root := &cli.Command{Name: "fuchsiaspar", Usage: "operate global traffic steering", Commands: []*cli.Command{demo.Command()}}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
