// Package fleet gathers what every entry VM knows of itself, so that an
// operator sees the whole deployment through any one of them.
package fleet

import (
	"context"
	"net/netip"
	"sort"
	"sync"
	"time"

	"fuchsiaspar/internal/entry"
	"fuchsiaspar/internal/explain"
	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/operator"
	"fuchsiaspar/internal/peer"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// callTimeout bounds the question to one entry VM.
	callTimeout = time.Second
	// callsAtOnce bounds the questions under way.
	maxConcurrentCalls = 32
	// explainLimit bounds the decisions that one entry VM returns.
	maxDecisionsPerVM = 200
)

// Errors of this package. Test for them with errors.Is.
var (
	// ErrNotReady reports an entry VM without a configuration.
	ErrNotReady = errors.New("fleet: no configuration yet")
	// ErrNoAnswer reports a client that no look-up answer exists for.
	ErrNoLookupResult = errors.New("fleet: no entry VM serves this client, account and service")
)

// DrainState is how far a drain has come at one entry VM.
type DrainState struct {
	ID       string
	InFlight int
	Empty    bool
	// Drained is the time from the drain's start until the VM was empty.
	Drained time.Duration
}

// Local is what the entry VM knows of itself.
type Local interface {
	View() *membership.View
	State() *entry.State
	Confirmed(now time.Time) bool
	Drains() []DrainState
}

// Options configures a Service.
type Options struct {
	Self  model.VMID
	Local Local
	Links peer.Links
	Ring  *explain.Ring
}

// Service answers questions about the whole deployment.
type Service struct {
	options Options
}

// New returns a service and registers its message handlers.
func New(o Options) *Service {
	s := &Service{options: o}
	o.Links.Handle(peer.KindStatus, s.answerStatus)
	o.Links.HandleSlow(peer.KindExplain, s.answerExplain)
	return s
}

// selfReport is one entry VM's account of itself.
type localReport struct {
	Confirmed bool                     `cbor:"1,keyasint"`
	Revision  model.Revision           `cbor:"2,keyasint"`
	Load      []membership.ServiceLoad `cbor:"3,keyasint"`
	Drains    []DrainState             `cbor:"4,keyasint"`
}

func (s *Service) localReport() localReport {
	local := s.options.Local
	r := localReport{Confirmed: local.Confirmed(time.Now()), Drains: local.Drains()}
	if m, ok := local.View().Find(s.options.Self); ok {
		r.Revision = m.Revision
		r.Load = m.Load
	}
	return r
}

func (s *Service) answerStatus(context.Context, model.VMID, []byte) (any, error) {
	return s.localReport(), nil
}

func (s *Service) answerExplain(_ context.Context, _ model.VMID, body []byte) (any, error) {
	var f explain.Filter
	if err := cbor.Unmarshal(body, &f); err != nil {
		return nil, errors.Wrap(err, "decode filter")
	}
	if f.Limit == 0 || f.Limit > maxDecisionsPerVM {
		f.Limit = maxDecisionsPerVM
	}
	return s.options.Ring.Find(f), nil
}

// ask calls every member that may answer and hands each reply to take, one at
// a time.
func queryMembers[T any](ctx context.Context, s *Service, kind peer.Kind, body any, handle func(membership.Member, T)) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	var mu sync.Mutex
	for _, m := range s.options.Local.View().Members {
		if m.VM == s.options.Self || m.State == membership.StateDead {
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			var reply T
			if err := s.options.Links.Call(ctx, m.VM, kind, body, &reply); err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			handle(m, reply)
			return nil
		})
	}
	_ = group.Wait()
}

// Status returns one row for each entry VM that is known, sorted by name.
func (s *Service) Status(ctx context.Context) ([]operator.VMStatus, error) {
	rows := make(map[model.VMID]operator.VMStatus)
	for _, m := range s.options.Local.View().Members {
		rows[m.VM] = operator.VMStatus{Member: m}
	}
	record := func(m membership.Member, r localReport) {
		m.Revision = r.Revision
		m.Load = r.Load
		rows[m.VM] = operator.VMStatus{Member: m, Confirmed: r.Confirmed, Answered: true}
	}
	if m, ok := s.options.Local.View().Find(s.options.Self); ok {
		record(m, s.localReport())
	}
	queryMembers(ctx, s, peer.KindStatus, nil, record)
	statuses := make([]operator.VMStatus, 0, len(rows))
	for _, row := range rows {
		statuses = append(statuses, row)
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].VM < statuses[j].VM })
	return statuses, nil
}

// Drains joins the progress of each drain over all entry VMs.
func (s *Service) Drains(ctx context.Context) ([]operator.DrainProgress, error) {
	progress := make(map[string]operator.DrainProgress)
	record := func(_ membership.Member, r localReport) {
		for _, d := range r.Drains {
			progress[d.ID] = addDrainState(progress[d.ID], d)
		}
	}
	record(membership.Member{}, s.localReport())
	queryMembers(ctx, s, peer.KindStatus, nil, record)
	drains := make([]operator.DrainProgress, 0, len(progress))
	for _, d := range progress {
		drains = append(drains, d)
	}
	sort.Slice(drains, func(i, j int) bool { return drains[i].ID < drains[j].ID })
	return drains, nil
}

// join adds one VM's state to the progress of a drain.
func addDrainState(p operator.DrainProgress, d DrainState) operator.DrainProgress {
	first := p.ID == ""
	p.ID = d.ID
	p.InFlight += d.InFlight
	p.Empty = d.Empty && (first || p.Empty)
	p.Drained = max(p.Drained, d.Drained)
	return p
}

// Explain finds recent decisions of every entry VM, newest first.
func (s *Service) Explain(ctx context.Context, f explain.Filter) ([]explain.Decision, error) {
	decisions := s.options.Ring.Find(f)
	queryMembers(ctx, s, peer.KindExplain, f, func(_ membership.Member, remote []explain.Decision) {
		decisions = append(decisions, remote...)
	})
	sort.SliceStable(decisions, func(i, j int) bool { return decisions[i].At.After(decisions[j].At) })
	if f.Limit > 0 && len(decisions) > f.Limit {
		decisions = decisions[:f.Limit]
	}
	return decisions, nil
}

// Lookup answers as a caller would be answered by this entry VM.
func (s *Service) Lookup(_ context.Context, account model.AccountID, service model.ServiceName, client netip.Addr) (operator.Lookup, error) {
	state := s.options.Local.State()
	if state == nil {
		return operator.Lookup{}, ErrNotReady
	}
	answer, ok := state.Table.Lookup(client.Unmap(), account, service)
	if !ok {
		return operator.Lookup{}, ErrNoLookupResult
	}
	result := operator.Lookup{TTL: answer.TTL, Revision: answer.Revision}
	for _, e := range answer.Entries {
		result.Entries = append(result.Entries, operator.LookupEntry{VM: e.VM, Zone: e.Zone, Address: e.Address})
	}
	for _, p := range answer.Places {
		result.Why = append(result.Why, "place "+string(p.Zone))
	}
	return result, nil
}
