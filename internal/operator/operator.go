// Package operator implements the operator API over the interfaces of the
// services that it reports on and drives.
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

// ConfigService is the part of config.Service that operators use.
type ConfigService interface {
	Current() *config.Snapshot
	Confirmed(now time.Time) bool
	Propose(ctx context.Context, change config.Change) (config.Result, error)
	DryRun(ctx context.Context, change config.Change) (config.DryRunReport, error)
	History(ctx context.Context, n int) ([]config.Commit, error)
	DocumentAt(ctx context.Context, revision model.Revision) (*config.Document, error)
}

// VMStatus is the state of one entry VM.
type VMStatus struct {
	membership.Member
	// Confirmed says that the VM's revision was known to be the newest within
	// seconds; else the VM is isolated.
	Confirmed bool
	// Answered says that the VM told its state itself.
	Answered bool
}

// StatusSource gathers the state of the whole fleet.
type StatusSource interface {
	// Status returns one row for each entry VM that is known.
	Status(ctx context.Context) ([]VMStatus, error)
}

// DrainProgress is how far a drain has come.
type DrainProgress struct {
	// ID names the drain.
	ID string
	// InFlight is the count of requests that still run at the target.
	InFlight int
	// Empty says that the target has been empty since Drained after the start.
	Empty   bool
	Drained time.Duration
}

// DrainSource tells how far drains have come.
type DrainSource interface {
	Drains(ctx context.Context) ([]DrainProgress, error)
}

// Explainer finds recent decisions, newest first.
type Explainer interface {
	Explain(ctx context.Context, filter explain.Filter) ([]explain.Decision, error)
}

// LookupEntry is one entry VM of a look-up answer.
type LookupEntry struct {
	VM      model.VMID
	Zone    model.Zone
	Address string
}

// Lookup is a look-up answer with what decided it.
type Lookup struct {
	Entries  []LookupEntry
	TTL      time.Duration
	Revision model.Revision
	Block    netip.Prefix
	Why      []string
}

// LookupSource answers look-ups as callers would get them.
type LookupSource interface {
	Lookup(ctx context.Context, account model.AccountID, service model.ServiceName, client netip.Addr) (Lookup, error)
}

// Deps are what the operator API works on. Drains may be nil.
type Deps struct {
	Self    model.VMID
	Config  ConfigService
	Status  StatusSource
	Drains  DrainSource
	Explain Explainer
	Lookup  LookupSource
	// Now is the wall clock; nil takes time.Now.
	Now func() time.Time
}

// Service implements the operator API.
type Service struct {
	deps Deps
}

var _ gen.Service = (*Service)(nil)

// New returns the operator API over deps.
func New(deps Deps) *Service {
	if deps.Now == nil {
		deps.Now = time.Now
	}
	return &Service{deps: deps}
}

// Mount serves the operator API on mux.
func Mount(mux goahttp.Muxer, svc gen.Service) {
	endpoints := gen.NewEndpoints(svc)
	handlers := server.New(endpoints, mux, requestDecoder, goahttp.ResponseEncoder, ignoreError, nil)
	server.Mount(mux, handlers)
}

// ignoreError drops failures to write an answer: the caller has gone.
func ignoreError(context.Context, http.ResponseWriter, error) {}

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 64 << 20

// requestDecoder decodes bounded bodies and reads them to their end: only then
// does the HTTP server notice that a caller has gone, and cancel its call.
func requestDecoder(r *http.Request) goahttp.Decoder {
	r.Body = http.MaxBytesReader(nil, r.Body, maxBodyBytes)
	return &wholeBody{Decoder: goahttp.RequestDecoder(r), body: r.Body}
}

type wholeBody struct {
	goahttp.Decoder
	body io.Reader
}

// Decode implements goahttp.Decoder.
func (d *wholeBody) Decode(v any) error {
	if err := d.Decoder.Decode(v); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, d.body)
	return err
}
