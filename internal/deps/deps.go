// Package deps keeps declared modules required until the packages that use
// them are merged.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/charmbracelet/log"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/gaissmai/bart"
	_ "github.com/gorilla/websocket"
	_ "github.com/leanovate/gopter"
	_ "github.com/leanovate/gopter/commands"
	_ "github.com/leanovate/gopter/gen"
	_ "github.com/leanovate/gopter/prop"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/pkg/errors"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "github.com/urfave/cli/v3"
	_ "go.uber.org/goleak"
	_ "goa.design/goa/v3/http"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
)
