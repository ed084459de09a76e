package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/explain"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/owner"
	"fuchsiaspar/internal/retry"
	"fuchsiaspar/internal/steer"
)

// maxAttempts bounds the attempts at one request by one picture of the owners.
const maxAttempts = 4

// minAttemptTime is the least time left that is worth another attempt.
const minAttemptTime = 2 * time.Millisecond

// progress is what the attempts at one request have found so far.
type progress struct {
	tried    []model.Zone
	excluded []model.VMID
	server   model.ServerID
	last     *Failure
	// attempts and looks count attempts and waits for new owners.
	attempts, looks int
	// crowded is set once a place refused for too much waiting work.
	crowded bool
	// mayHaveRun is set once an attempt has ended without proof that it did
	// not run.
	mayHaveRun bool
}

// dispatch runs the request at one place after another until one answers, a
// failure forbids another attempt, or nothing is left to try. While owners
// change hands it waits for the new ones.
func (s *Server) dispatch(ctx context.Context, q *request) (*answer, *Failure) {
	s.options.RetryBudget.RecordFirstAttempt(time.Now(), q.service, q.priority)
	p := &progress{tried: q.state.DrainedZones[q.account]}
	for {
		a, f := s.round(ctx, q, p)
		if f == nil {
			return a, nil
		}
		if !s.awaitOwner(ctx, q, p, f) {
			return nil, p.final(f)
		}
	}
}

// round makes attempts by one picture of the owners.
func (s *Server) round(ctx context.Context, q *request, p *progress) (*answer, *Failure) {
	for range maxAttempts {
		target, f := s.choose(q, p)
		if f != nil {
			return nil, f
		}
		p.attempts++
		a, f := s.attempt(ctx, q, target, attemptID(q.id, p.attempts), p.server)
		if f == nil {
			s.options.Router.Answered(time.Now(), q.service, target.zone)
			return a, nil
		}
		s.options.Router.Failed(time.Now(), q.service, target.zone)
		p.note(target, f)
		if !s.mayRetry(ctx, q, f) && !s.maySpill(ctx, q, p, target) {
			return nil, f
		}
	}
	return nil, p.last
}

const (
	// ownerPause is the time between two looks at the owners, and ownerLooks
	// the count of looks. A planned hand-over takes less than a second.
	ownerPause = 50 * time.Millisecond
	ownerLooks = 12
)

// awaitOwner waits a moment for the owners of servers to change when a request
// that did not run failed only for the lack of them. It reports whether another
// round is worth it.
func (s *Server) awaitOwner(ctx context.Context, q *request, p *progress, f *Failure) bool {
	f = p.final(f)
	if !redirect(f.Reason) || f.Outcome != model.OutcomeNotRun || p.looks == ownerLooks || !q.body.replayable() {
		return false
	}
	if !retry.FitsDeadline(time.Now(), q.deadline, ownerPause+minAttemptTime) || !background.Sleep(ctx, ownerPause) {
		return false
	}
	q.state = s.source.State()
	p.looks++
	p.tried = q.state.DrainedZones[q.account]
	p.excluded = nil
	p.last = nil
	return true
}

// final returns the failure to tell the caller. The failure of an attempt says
// more than the lack of another place to try, and an attempt that may have run
// makes the whole request one that may have run.
func (p *progress) final(f *Failure) *Failure {
	if p.last != nil {
		f = p.last
	}
	if !p.mayHaveRun || f.Outcome != model.OutcomeNotRun {
		return f
	}
	told := *f
	told.Outcome = model.OutcomeUnknown
	told.Status = http.StatusBadGateway
	return &told
}

func attemptID(id model.AttemptID, n int) model.AttemptID {
	return id + "." + model.AttemptID(strconv.Itoa(n))
}

// target is the entry VM and availability zone of one attempt.
type target struct {
	zone  model.Zone
	owner Owner
}

func (s *Server) choose(q *request, p *progress) (target, *Failure) {
	for {
		choice := s.options.Router.Choose(time.Now(), steer.Request{
			Account:       q.account,
			Service:       q.service,
			Priority:      q.priority,
			Places:        q.home,
			Tried:         p.tried,
			FreeSlotsOnly: p.crowded,
		})
		if !choice.OK {
			return target{}, refuse(http.StatusServiceUnavailable, choice.Reason, "no place can take the request now; retry later")
		}
		if choice.Shift && !s.source.Confirmed(time.Now()) {
			return target{}, refuse(http.StatusServiceUnavailable, model.ReasonIsolated, "this entry VM is cut off and shifts no traffic; try another")
		}
		o, ok := s.pickOwner(q, choice.Zone, p.excluded)
		if ok && s.linkOpen(o.Region) {
			s.noteShift(q, choice)
			return target{zone: choice.Zone, owner: o}, nil
		}
		if ok && p.last == nil {
			p.last = refuse(http.StatusServiceUnavailable, model.ReasonLinkCap, "this entry VM may not use the link to "+string(o.Region)+" yet; try another")
		}
		s.options.Router.Failed(time.Now(), q.service, choice.Zone)
		p.tried = appendZone(p.tried, choice.Zone)
	}
}

func (s *Server) noteShift(q *request, c steer.Choice) {
	if !c.Shift {
		return
	}
	s.meter.shifted()
	s.options.Explain.Record(explain.Decision{
		At:       time.Now(),
		Kind:     explain.KindShift,
		Revision: q.state.Config.Revision(),
		Request:  q.id,
		Account:  q.account,
		Service:  q.service,
		Priority: q.priority,
		Zone:     c.Zone,
		Detail:   "served away from the client's own place",
	})
}

// pickOwner draws an owner of the zone's servers in proportion to its slots.
func (s *Server) pickOwner(q *request, zone model.Zone, excluded []model.VMID) (Owner, bool) {
	key := owner.PoolKey{Service: q.service, Zone: zone}
	own, others := q.state.LocalOwners[key], q.state.RemoteOwners[key]
	if contains(excluded, own.VM) {
		own = Owner{}
	}
	total := own.Slots
	for _, o := range others {
		if !contains(excluded, o.VM) {
			total += o.Slots
		}
	}
	if total == 0 {
		return Owner{}, false
	}
	draw := rand.IntN(total)
	if draw < own.Slots {
		return own, true
	}
	draw -= own.Slots
	for _, o := range others {
		if contains(excluded, o.VM) {
			continue
		}
		if draw < o.Slots {
			return o, true
		}
		draw -= o.Slots
	}
	return Owner{}, false
}

func contains(list []model.VMID, vm model.VMID) bool {
	for _, v := range list {
		if v == vm {
			return true
		}
	}
	return false
}

// appendZone returns a list of its own, since the first one is shared.
func appendZone(list []model.Zone, z model.Zone) []model.Zone {
	return append(list[:len(list):len(list)], z)
}

// note remembers a failed attempt. An entry VM that failed without asking a
// server is not asked again, unless only the connection to it went silent.
func (p *progress) note(t target, f *Failure) {
	p.last = f
	p.mayHaveRun = p.mayHaveRun || f.Outcome != model.OutcomeNotRun
	p.server = f.server
	if f.server == "" && f.Reason != model.ReasonSilentConnection {
		p.excluded = append(p.excluded, t.owner.VM)
	}
}

// redirect reports whether an attempt ended before it could load any server
// because this VM's picture of the owners was old. Going elsewhere is then no
// retry and needs no budget.
func redirect(r model.Reason) bool {
	switch r {
	case model.ReasonNotOwner, model.ReasonLinkCap, model.ReasonNoServer, model.ReasonPeerUnreachable, model.ReasonStaleToken:
		return true
	}
	return false
}

// maySpill reports whether a request that one place had no room for may go to
// another place with free slots. It does so once and needs no retry budget,
// since it adds no load where there is none to spare.
func (s *Server) maySpill(ctx context.Context, q *request, p *progress, t target) bool {
	if p.crowded || !retry.IsOverload(p.last.Reason) || p.last.Outcome != model.OutcomeNotRun || !q.body.replayable() {
		return false
	}
	if ctx.Err() != nil || !retry.FitsDeadline(time.Now(), q.deadline, minAttemptTime) {
		return false
	}
	p.crowded = true
	p.tried = appendZone(p.tried, t.zone)
	s.meter.spilled()
	return true
}

func (s *Server) mayRetry(ctx context.Context, q *request, f *Failure) bool {
	if !retry.Retryable(q.class.Idempotent, f.Outcome, f.Reason) || !q.body.replayable() {
		return false
	}
	now := time.Now()
	if ctx.Err() != nil || !retry.FitsDeadline(now, q.deadline, minAttemptTime) {
		return false
	}
	if redirect(f.Reason) {
		s.meter.redirected(f.Reason)
		return true
	}
	if !s.options.RetryBudget.Take(now, q.service, q.priority) {
		s.meter.retryRefused()
		return false
	}
	s.meter.retried(f.Reason)
	s.options.Explain.Record(explain.Decision{
		At:       now,
		Kind:     explain.KindRetry,
		Reason:   f.Reason,
		Revision: q.state.Config.Revision(),
		Request:  q.id,
		Account:  q.account,
		Service:  q.service,
		Priority: q.priority,
		Server:   f.server,
		Detail:   f.Message,
	})
	return true
}
