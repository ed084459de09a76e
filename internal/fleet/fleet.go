// Package fleet collects status, drain progress and decisions from all entry
// VMs, so that an operator can query the whole deployment through any one of
// them. VMs that don't respond in time are left out or shown as unanswered; they
// don't fail the query.
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
	// callTimeout limits the call to one entry VM.
	callTimeout = time.Second
	// maxConcurrentCalls limits the concurrent calls of one query.
	maxConcurrentCalls = 32
	// maxDecisionsPerVM limits the decisions returned by one entry VM.
	maxDecisionsPerVM = 200
)

// Errors returned by Service, to be tested with errors.Is.
var (
	// ErrNotReady reports that this entry VM has no configuration yet.
	ErrNotReady = errors.New("fleet: no configuration yet")
	// ErrNoLookupResult reports that a lookup for the client has no result.
	ErrNoLookupResult = errors.New("fleet: no entry VM serves this client, account and service")
)

// DrainState is the progress of a drain as seen by one entry VM. It is encoded
// under the names of its fields.
type DrainState struct {
	// ID is the name of the drain.
	ID string
	// InFlight is the number of this VM's requests still running at the target.
	InFlight int
	// Empty is true if InFlight has reached zero.
	Empty bool
	// Drained is the time from the start of the drain until Empty became true.
	Drained time.Duration
}

// Local provides the state of the local entry VM.
type Local interface {
	// View returns the current membership.
	View() *membership.View
	// State returns the state used to serve requests, or nil if there is no
	// configuration yet.
	State() *entry.State
	// Confirmed reports whether the configuration is known to be the newest.
	Confirmed(now time.Time) bool
	// Drains returns the progress of the configured drains.
	Drains() []DrainState
}

// Options configures a Service. All fields are required.
type Options struct {
	Self  model.VMID
	Local Local
	Links peer.Links
	Ring  *explain.Ring
}

// Service answers queries about the whole deployment and responds to the queries
// of other entry VMs.
type Service struct {
	options Options
}

// New returns a Service and registers its message handlers on o.Links.
func New(o Options) *Service {
	s := &Service{options: o}
	o.Links.Handle(peer.KindStatus, s.answerStatus)
	o.Links.HandleSlow(peer.KindExplain, s.answerExplain)
	return s
}

// localReport is an entry VM's report about itself, sent to other VMs.
type localReport struct {
	Confirmed bool                     `cbor:"1,keyasint"`
	Revision  model.Revision           `cbor:"2,keyasint"`
	Load      []membership.ServiceLoad `cbor:"3,keyasint"`
	Drains    []DrainState             `cbor:"4,keyasint"`
}

// localReport returns the report of this VM.
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

// queryMembers calls every other member that is not known to be dead and passes
// each reply to handle. Calls run concurrently, handle does not. Members that
// fail to reply are skipped.
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

// Status returns the status of every known entry VM, sorted by name. It never
// fails.
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

// Drains returns the progress of each drain over all responding entry VMs,
// sorted by name. It never fails.
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

// addDrainState returns the progress p of a drain with one VM's state added. The
// drain is empty once it is empty at every VM.
func addDrainState(p operator.DrainProgress, d DrainState) operator.DrainProgress {
	first := p.ID == ""
	p.ID = d.ID
	p.InFlight += d.InFlight
	p.Empty = d.Empty && (first || p.Empty)
	p.Drained = max(p.Drained, d.Drained)
	return p
}

// Explain returns the recent decisions of all entry VMs that match f, newest
// first and at most f.Limit unless that is zero. It never fails.
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

// Lookup returns the result that a caller's lookup at this entry VM gets. It
// returns ErrNotReady or ErrNoLookupResult if there is none.
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
