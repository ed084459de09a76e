package operator

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	gen "fuchsiaspar/gen/operator"
	"fuchsiaspar/internal/explain"
	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/model"
)

// Status implements gen.Service. It returns the status of all known entry VMs.
func (s *Service) Status(ctx context.Context) (*gen.StatusResult, error) {
	rows, err := s.deps.Status.Status(ctx)
	if err != nil {
		return nil, toAPIError(err)
	}
	result := &gen.StatusResult{
		AnsweredBy: string(s.deps.Self),
		Confirmed:  s.deps.Config.Confirmed(s.deps.Now()),
		Vms:        make([]*gen.VMStatus, len(rows)),
	}
	if current := s.deps.Config.Current(); current != nil {
		result.Revision = uint64(current.Revision())
	}
	for i, row := range rows {
		result.Vms[i] = toAPIVMStatus(row)
	}
	return result, nil
}

func toAPIVMStatus(row VMStatus) *gen.VMStatus {
	const hexadecimal = 16
	out := &gen.VMStatus{
		VM:          string(row.VM),
		Zone:        string(row.Zone),
		Region:      string(row.Region),
		State:       stateName(row.State),
		Incarnation: strconv.FormatUint(uint64(row.Incarnation), hexadecimal),
		Address:     row.Address,
		Revision:    uint64(row.Revision),
		Confirmed:   row.Confirmed,
		Answered:    row.Answered,
	}
	for _, l := range row.Load {
		out.Load = append(out.Load, &gen.ServiceLoad{
			Service: string(l.Service),
			Slots:   l.Slots,
			Busy:    l.Busy,
			Queued:  l.Queued,
		})
	}
	return out
}

func stateName(state membership.State) string {
	switch state {
	case membership.StateAlive:
		return "alive"
	case membership.StateSuspect:
		return "suspect"
	case membership.StateLeaving:
		return "leaving"
	case membership.StateDead:
		return "dead"
	default:
		return "unknown"
	}
}

// Explain implements gen.Service. It returns the recent decisions that match the
// request.
func (s *Service) Explain(ctx context.Context, req *gen.ExplainPayload) (*gen.ExplainResult, error) {
	decisions, err := s.deps.Explain.Explain(ctx, explain.Filter{
		Kind:    explain.Kind(valueOrZero(req.Kind)),
		Reason:  model.Reason(valueOrZero(req.Reason)),
		Account: model.AccountID(valueOrZero(req.Account)),
		Service: model.ServiceName(valueOrZero(req.Service)),
		Zone:    model.Zone(valueOrZero(req.Zone)),
		Request: model.AttemptID(valueOrZero(req.Request)),
		Limit:   req.Limit,
	})
	if err != nil {
		return nil, toAPIError(err)
	}
	result := &gen.ExplainResult{Decisions: make([]*gen.DecisionInfo, len(decisions))}
	for i, d := range decisions {
		result.Decisions[i] = toAPIDecision(d)
	}
	return result, nil
}

func toAPIDecision(d explain.Decision) *gen.DecisionInfo {
	return &gen.DecisionInfo{
		At:       d.At.Format(time.RFC3339Nano),
		VM:       string(d.VM),
		Kind:     string(d.Kind),
		Reason:   pointerOrNil(string(d.Reason)),
		Revision: uint64(d.Revision),
		Request:  pointerOrNil(string(d.Request)),
		Account:  pointerOrNil(string(d.Account)),
		Service:  pointerOrNil(string(d.Service)),
		Priority: decisionPriority(d),
		Zone:     pointerOrNil(string(d.Zone)),
		Server:   pointerOrNil(string(d.Server)),
		Detail:   pointerOrNil(d.Detail),
	}
}

// decisionPriority returns the priority of a decision about a client account's
// request, or nil: other decisions have no priority.
func decisionPriority(d explain.Decision) *string {
	if d.Account == "" {
		return nil
	}
	return pointerOrNil(d.Priority.String())
}

// Lookup implements gen.Service. It returns the result and explanation of a
// lookup.
func (s *Service) Lookup(ctx context.Context, req *gen.LookupPayload) (*gen.LookupResult, error) {
	client, err := netip.ParseAddr(req.Client)
	if err != nil {
		return nil, newFailure(nameInvalid, "client is no IP address: give one such as 10.1.2.3")
	}
	answer, err := s.deps.Lookup.Lookup(ctx, model.AccountID(req.Account), model.ServiceName(req.Service), client)
	if err != nil {
		return nil, toAPIError(err)
	}
	result := &gen.LookupResult{
		Entries:  make([]*gen.EntryVM, len(answer.Entries)),
		TTLMs:    answer.TTL.Milliseconds(),
		Revision: uint64(answer.Revision),
		Why:      answer.Why,
	}
	if answer.Block.IsValid() {
		result.Block = pointerOrNil(answer.Block.String())
	}
	for i, e := range answer.Entries {
		result.Entries[i] = &gen.EntryVM{VM: string(e.VM), Zone: string(e.Zone), Address: e.Address}
	}
	return result, nil
}
