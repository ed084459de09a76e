package cli

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"fuchsiaspar/internal/routereport"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// maxRouteReport bounds the answer of a VM.
const maxRouteReport = 1 << 20

func routeCommand() *cli.Command {
	return &cli.Command{
		Name:      "route",
		Usage:     "explain where an entry VM on the platform would send a request now, without sending it",
		ArgsUsage: "HOST:PORT of the VM's metrics",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: routereport.ParamHost, Usage: "`host` of the request", Required: true},
			&cli.StringFlag{Name: routereport.ParamPath, Usage: "`path` of the request", Value: "/"},
			&cli.StringFlag{Name: routereport.ParamAccount, Usage: "name of the client `account`, not its key"},
			&cli.StringFlag{Name: routereport.ParamRegion, Usage: "`region` in which the request arrives; that of the VM by default"},
			&cli.StringFlag{Name: routereport.ParamZone, Usage: "availability `zone` in which the request arrives"},
			&cli.StringFlag{Name: routereport.ParamObject, Usage: "`key` of the object that the request concerns"},
		},
		Action: explainRoute,
	}
}

func explainRoute(ctx context.Context, cmd *cli.Command) error {
	address, err := requireArgument(cmd, "the metrics address of an entry VM")
	if err != nil {
		return err
	}
	params := url.Values{}
	for _, name := range []string{
		routereport.ParamHost, routereport.ParamPath, routereport.ParamAccount,
		routereport.ParamRegion, routereport.ParamZone, routereport.ParamObject,
	} {
		if value := cmd.String(name); value != "" {
			params.Set(name, value)
		}
	}
	report, err := fetchRouteReport(ctx, cmd, address, params)
	if err != nil {
		return err
	}
	return printResult(cmd, report, report.WriteText)
}

func fetchRouteReport(ctx context.Context, cmd *cli.Command, address string, params url.Values) (*routereport.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: routereport.Path}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, newUsageError("%s", err)
	}
	// The errors of net/http name the URL, whose query holds a key if one was passed in
	// place of an account's name.
	req.URL.RawQuery = params.Encode()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		var urlError *url.Error
		if errors.As(err, &urlError) {
			err = urlError.Err
		}
		return nil, errors.WithStack(&unreachableError{servers: []string{address}, lastErr: err})
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRouteReport))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.WithStack(&refusedError{message: strings.TrimSpace(string(body)), code: ExitRefused})
	}
	var report routereport.Report
	return &report, errors.Wrap(json.Unmarshal(body, &report), "decode answer")
}
