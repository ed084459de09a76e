// Package operator implements the operator API: configuration changes, status
// and explanations. It depends only on interfaces of the services behind it and
// converts their results and errors to the generated API types.
package operator

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"fuchsiaspar/gen/http/operator/server"
	gen "fuchsiaspar/gen/operator"
	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/explain"
	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/model"

	goahttp "goa.design/goa/v3/http"
)

// ConfigService is the subset of config.Service that the operator API uses.
type ConfigService interface {
	Current() *config.Snapshot
	Confirmed(now time.Time) bool
	Propose(ctx context.Context, change config.Change) (config.Result, error)
	DryRun(ctx context.Context, change config.Change) (config.DryRunReport, error)
	History(ctx context.Context, n int) ([]config.Commit, error)
	DocumentAt(ctx context.Context, revision model.Revision) (*config.Document, error)
}

// VMStatus is the status of one entry VM.
type VMStatus struct {
	membership.Member
	// Confirmed is true if the VM verified within the last seconds that its
	// revision is the newest; otherwise the VM is isolated.
	Confirmed bool
	// Answered is true if the VM itself responded; otherwise the status is what
	// other VMs know of it.
	Answered bool
}

// StatusSource collects the status of all entry VMs.
type StatusSource interface {
	// Status returns one entry per known entry VM.
	Status(ctx context.Context) ([]VMStatus, error)
}

// DrainProgress is the progress of one drain over all entry VMs.
type DrainProgress struct {
	// ID is the name of the drain.
	ID string
	// InFlight is the number of requests still running at the target.
	InFlight int
	// Empty is true if the target has no requests left.
	Empty bool
	// Drained is the time from the start of the drain until the target was
	// empty. It is only valid if Empty is true.
	Drained time.Duration
}

// DrainSource reports the progress of drains.
type DrainSource interface {
	Drains(ctx context.Context) ([]DrainProgress, error)
}

// Explainer returns the recent decisions that match a filter, newest first.
type Explainer interface {
	Explain(ctx context.Context, filter explain.Filter) ([]explain.Decision, error)
}

// LookupEntry is an entry VM in a lookup result.
type LookupEntry struct {
	VM      model.VMID
	Zone    model.Zone
	Address string
}

// Lookup is a lookup result with its explanation.
type Lookup struct {
	// Entries are the entry VMs to use, best first.
	Entries []LookupEntry
	// TTL is how long a client may cache the result.
	TTL time.Duration
	// Revision is the configuration revision that the result is based on.
	Revision model.Revision
	// Block is the block of client addresses that matched; invalid if unknown.
	Block netip.Prefix
	// Why lists what determined the order, one reason per line.
	Why []string
}

// LookupSource returns the same lookup results that callers get.
type LookupSource interface {
	Lookup(ctx context.Context, account model.AccountID, service model.ServiceName, client netip.Addr) (Lookup, error)
}

// Deps are the dependencies of a Service. Drains may be nil, in which case no
// progress is known.
type Deps struct {
	Self    model.VMID
	Config  ConfigService
	Status  StatusSource
	Drains  DrainSource
	Explain Explainer
	Lookup  LookupSource
	// Now returns the wall-clock time. The default is time.Now.
	Now func() time.Time
}

// Service implements the operator API.
type Service struct {
	deps Deps
}

var _ gen.Service = (*Service)(nil)

// New returns a Service that uses deps.
func New(deps Deps) *Service {
	if deps.Now == nil {
		deps.Now = time.Now
	}
	return &Service{deps: deps}
}

// Mount registers the HTTP handlers of the operator API on mux.
func Mount(mux goahttp.Muxer, svc gen.Service) {
	endpoints := gen.NewEndpoints(svc)
	handlers := server.New(endpoints, mux, requestDecoder, goahttp.ResponseEncoder, ignoreWriteError, nil)
	server.Mount(mux, handlers)
}

// ignoreWriteError discards errors in writing a response: they mean that the
// client has disconnected.
func ignoreWriteError(context.Context, http.ResponseWriter, error) {}

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 64 << 20

// requestDecoder returns a decoder that limits the body's size and reads it to
// EOF: only then does the HTTP server detect that the client has disconnected
// and cancel the request's context.
func requestDecoder(r *http.Request) goahttp.Decoder {
	r.Body = http.MaxBytesReader(nil, r.Body, maxBodyBytes)
	return &drainingDecoder{Decoder: goahttp.RequestDecoder(r), body: r.Body}
}

// drainingDecoder reads the rest of body after each decoded value.
type drainingDecoder struct {
	goahttp.Decoder
	body io.Reader
}

// Decode implements goahttp.Decoder.
func (d *drainingDecoder) Decode(v any) error {
	if err := d.Decoder.Decode(v); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, d.body)
	return err
}
