package entry

import (
	"context"
	"net/netip"
	"time"

	"fuchsiaspar/gen/caller"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/once"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/steer"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// callerAPI implements caller.Service: lookups and tickets.
type callerAPI struct {
	server *Server
}

// CallerAPI returns the implementation of the caller API.
func (s *Server) CallerAPI() caller.Service { return &callerAPI{server: s} }

func refusedError(reason model.Reason, message string) error {
	return &caller.Refusal{Name: "refused", Reason: string(reason), Message: message}
}

func unavailableError(reason model.Reason, message string) error {
	return &caller.Refusal{Name: "unavailable", Reason: string(reason), Message: message}
}

func (a *callerAPI) state() (*State, error) {
	state := a.server.source.State()
	if state == nil || state.Config == nil {
		return nil, unavailableError(model.ReasonNoConfig, "no configuration yet; try another entry VM")
	}
	return state, nil
}

// Lookup returns the entry VMs that a client should use.
func (a *callerAPI) Lookup(_ context.Context, p *caller.LookupPayload) (*caller.LookupResult, error) {
	state, err := a.state()
	if err != nil {
		return nil, a.countRefusal(err)
	}
	client, err := netip.ParseAddr(p.Client)
	if err != nil {
		return nil, a.countRefusal(refusedError(model.ReasonMalformed, "client must be an IP number"))
	}
	account, service := model.AccountID(p.Account), model.ServiceName(p.Service)
	if err := checkAccountUses(state, account, service); err != nil {
		return nil, a.countRefusal(err)
	}
	result, ok := state.Table.Lookup(client.Unmap(), account, service)
	if !ok || len(result.Entries) == 0 {
		return nil, a.countRefusal(unavailableError(model.ReasonNoServer, "no entry VM accepts clients now; retry later"))
	}
	a.server.metrics.lookups.Inc(1)
	return lookupResult(result), nil
}

// checkAccountUses returns a refusal unless the account exists and uses the service.
func checkAccountUses(state *State, account model.AccountID, service model.ServiceName) error {
	if _, ok := state.Config.Account(account); !ok {
		return refusedError(model.ReasonUnknownAccount, "no client account is called "+string(account))
	}
	if !state.Config.Uses(account, service) {
		return refusedError(model.ReasonUnknownService, "the account doesn't use service "+string(service))
	}
	return nil
}

func lookupResult(result steer.Answer) *caller.LookupResult {
	r := &caller.LookupResult{
		TTLMs:    result.TTL.Milliseconds(),
		Revision: uint64(result.Revision),
	}
	for _, e := range result.Entries {
		r.Entries = append(r.Entries, &caller.EntryVM{VM: string(e.VM), Zone: string(e.Zone), Address: e.Address})
	}
	return r
}

// Ticket issues a ticket for one non-idempotent request.
func (a *callerAPI) Ticket(_ context.Context, p *caller.TicketPayload) (*caller.TicketResult, error) {
	state, err := a.state()
	if err != nil {
		return nil, a.countRefusal(err)
	}
	if state.Stopping {
		return nil, a.countRefusal(unavailableError(model.ReasonStopping, "this entry VM is leaving; take a ticket from another"))
	}
	account, service := model.AccountID(p.Account), model.ServiceName(p.Service)
	if err := checkAccountUses(state, account, service); err != nil {
		return nil, a.countRefusal(err)
	}
	ticket, expires, err := a.server.options.Tickets.Issue(time.Now(), account, service)
	if err != nil {
		return nil, a.countRefusal(unavailableError(model.ReasonTicketsExhausted, "too many tickets are open; retry later"))
	}
	a.server.metrics.tickets.Inc(1)
	return &caller.TicketResult{Ticket: ticket, ExpiresInMs: expires.Milliseconds()}, nil
}

// Seal prevents a ticket that has not begun from ever beginning, and returns the
// outcome of one that has. It asks the owner if another entry VM issued the ticket.
func (a *callerAPI) Seal(ctx context.Context, p *caller.SealPayload) (*caller.SealResult, error) {
	info, err := once.Parse(p.Ticket)
	if err != nil {
		return nil, a.countRefusal(refusedError(model.ReasonTicketInvalid, "the ticket can't be read"))
	}
	if info.Owner == a.server.options.Self {
		return sealResult(a.server.sealTicket(p.Ticket)), nil
	}
	var r sealReply
	if err := a.server.options.Links.Call(ctx, info.Owner, peer.KindSeal, sealRequest{Ticket: p.Ticket}, &r); err != nil {
		return sealResult(sealReply{Outcome: model.OutcomeUnknown, Reason: model.ReasonTicketOwnerGone}), nil
	}
	return sealResult(r), nil
}

// countRefusal counts err in the metrics if it is a refusal, and returns it.
func (a *callerAPI) countRefusal(err error) error {
	var r *caller.Refusal
	if errors.As(err, &r) {
		a.server.metrics.failed(&Failure{Outcome: model.OutcomeNotRun, Reason: model.Reason(r.Reason)})
	}
	return err
}

// sealRequest is the peer message that asks the owner of a ticket to seal it.
type sealRequest struct {
	Ticket string `cbor:"1,keyasint"`
}

// sealReply is the reply to a sealRequest.
type sealReply struct {
	Outcome model.Outcome `cbor:"1,keyasint"`
	Reason  model.Reason  `cbor:"2,keyasint"`
}

func (s *Server) sealTicket(ticket string) sealReply {
	outcome, err := s.options.Tickets.Seal(time.Now(), ticket)
	var e *once.Error
	if errors.As(err, &e) {
		return sealReply{Outcome: e.Outcome, Reason: e.Reason}
	}
	return sealReply{Outcome: outcome}
}

func (s *Server) handleSealRequest(_ context.Context, _ model.VMID, body []byte) (any, error) {
	var q sealRequest
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, errors.Wrap(err, "decode seal request")
	}
	return s.sealTicket(q.Ticket), nil
}

func sealResult(r sealReply) *caller.SealResult {
	return &caller.SealResult{Outcome: r.Outcome.String(), Reason: string(r.Reason)}
}
