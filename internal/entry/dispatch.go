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

// maxAttempts is the maximum number of attempts at a request with one state of the
// owners.
const maxAttempts = 4

// minTimeForAttempt is the minimum time before the deadline for another attempt.
const minTimeForAttempt = 2 * time.Millisecond

// progress is the state of a request across its attempts.
type progress struct {
	// tried lists the zones, and excluded the owners, not to choose again.
	tried    []model.Zone
	excluded []model.VMID
	// failedServer is the server of the last failed attempt, if it reached one. The
	// next attempt avoids it.
	failedServer model.ServerID
	// last is the failure of the last attempt.
	last *Failure
	// attempts is the number of attempts, and ownerPolls that of waits for other
	// owners.
	attempts, ownerPolls int
	// overloaded is set once a zone refused the request because of overload. Only
	// zones with free slots are chosen afterwards.
	overloaded bool
	// mayHaveRun is set once an attempt has failed without proof that it did not
	// run.
	mayHaveRun bool
}

// dispatch makes attempts at the request in one zone after another until one
// responds, a failure forbids another attempt, or no zone is left. If only a change
// of owners prevented an attempt, it waits for the new owners.
func (s *Server) dispatch(ctx context.Context, q *request) (*response, *Failure) {
	if f := s.checkStop(q); f != nil {
		return nil, f
	}
	s.options.RetryBudget.RecordFirstAttempt(time.Now(), q.service, q.priority)
	p := &progress{tried: q.state.DrainedZones[q.account]}
	for {
		resp, f := s.attemptOwners(ctx, q, p)
		if f == nil {
			return resp, nil
		}
		if !s.waitForOwner(ctx, q, p, f) {
			return nil, p.finalFailure(f)
		}
	}
}

// attemptOwners makes attempts with the current state of the owners.
func (s *Server) attemptOwners(ctx context.Context, q *request, p *progress) (*response, *Failure) {
	for range maxAttempts {
		t, f := s.chooseTarget(q, p)
		if f != nil {
			return nil, f
		}
		p.attempts++
		resp, f := s.attempt(ctx, q, t, attemptID(q.id, p.attempts), p.failedServer)
		if f == nil {
			s.options.Router.Answered(time.Now(), q.service, t.zone)
			return resp, nil
		}
		s.options.Router.Failed(time.Now(), q.service, t.zone)
		p.recordFailure(t, f)
		if !s.mayRetry(ctx, q, f) && !s.maySpill(ctx, q, p, t) {
			return nil, f
		}
	}
	return nil, p.last
}

const (
	// ownerPollInterval is the time between two checks for other owners, and
	// maxOwnerPolls the maximum number of checks. Together they are 0.6 s; a
	// planned handover of servers takes less than a second.
	ownerPollInterval = 50 * time.Millisecond
	maxOwnerPolls     = 12
)

// waitForOwner waits for one poll interval if the request did not run and failed
// only because this VM's state of the owners is outdated. It reports whether to try
// the owners again.
func (s *Server) waitForOwner(ctx context.Context, q *request, p *progress, f *Failure) bool {
	f = p.finalFailure(f)
	if !isRedirect(f.Reason) || f.Outcome != model.OutcomeNotRun || p.ownerPolls == maxOwnerPolls || !q.body.replayable() {
		return false
	}
	if !retry.FitsDeadline(time.Now(), q.deadline, ownerPollInterval+minTimeForAttempt) || !background.Sleep(ctx, ownerPollInterval) {
		return false
	}
	q.state = s.source.State()
	p.ownerPolls++
	p.tried = q.state.DrainedZones[q.account]
	p.excluded = nil
	p.last = nil
	return true
}

// finalFailure returns the failure to report to the caller. It prefers the failure of
// the last attempt to f, which may only say that no zone is left. If any attempt may
// have run, the outcome is unknown.
func (p *progress) finalFailure(f *Failure) *Failure {
	if p.last != nil {
		f = p.last
	}
	if !p.mayHaveRun || f.Outcome != model.OutcomeNotRun {
		return f
	}
	reported := *f
	reported.Outcome = model.OutcomeUnknown
	reported.Status = http.StatusBadGateway
	return &reported
}

// attemptID returns the identifier of the n-th attempt at a request.
func attemptID(id model.AttemptID, n int) model.AttemptID {
	return id + "." + model.AttemptID(strconv.Itoa(n))
}

// target is the availability zone of an attempt and the entry VM that owns the
// servers there.
type target struct {
	zone  model.Zone
	owner Owner
}

// chooseTarget chooses the zone and the owner of the next attempt.
func (s *Server) chooseTarget(q *request, p *progress) (target, *Failure) {
	for {
		choice := s.options.Router.Choose(time.Now(), steer.Request{
			Account:       q.account,
			Service:       q.service,
			Priority:      q.priority,
			Places:        q.homePlaces,
			Tried:         p.tried,
			FreeSlotsOnly: p.overloaded,
		})
		if !choice.OK {
			return target{}, notRun(http.StatusServiceUnavailable, choice.Reason, "no place can take the request now; retry later")
		}
		if choice.Shift && !s.source.Confirmed(time.Now()) {
			return target{}, notRun(http.StatusServiceUnavailable, model.ReasonIsolated, "this entry VM is cut off and shifts no traffic; try another")
		}
		o, ok := s.drawOwner(q, choice.Zone, p.excluded)
		if ok && s.mayUseLink(o.Region) {
			s.recordShift(q, choice)
			return target{zone: choice.Zone, owner: o}, nil
		}
		if ok && p.last == nil {
			p.last = notRun(http.StatusServiceUnavailable, model.ReasonLinkCap, "this entry VM may not use the link to "+string(o.Region)+" yet; try another")
		}
		s.options.Router.Failed(time.Now(), q.service, choice.Zone)
		p.tried = appendZone(p.tried, choice.Zone)
	}
}

// recordShift counts and records a request that is shifted out of its home zone.
func (s *Server) recordShift(q *request, c steer.Choice) {
	if !c.Shift {
		return
	}
	s.metrics.shifted()
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

// drawOwner selects an owner of the zone's servers at random, in proportion to its
// slots. It returns false if no owner that is not excluded has slots.
func (s *Server) drawOwner(q *request, zone model.Zone, excluded []model.VMID) (Owner, bool) {
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

// appendZone returns a copy of list with z appended. list itself is shared and must
// not change.
func appendZone(list []model.Zone, z model.Zone) []model.Zone {
	return append(list[:len(list):len(list)], z)
}

// recordFailure records a failed attempt. An entry VM that failed without reaching a
// server is excluded, unless only the connection to it was silent.
func (p *progress) recordFailure(t target, f *Failure) {
	p.last = f
	p.mayHaveRun = p.mayHaveRun || f.Outcome != model.OutcomeNotRun
	p.failedServer = f.server
	if f.server == "" && f.Reason != model.ReasonSilentConnection {
		p.excluded = append(p.excluded, t.owner.VM)
	}
}

// isRedirect reports whether r means that an attempt reached no server because this
// VM's state of the owners was outdated. Another attempt then adds no load and needs
// no retry budget.
func isRedirect(r model.Reason) bool {
	switch r {
	case model.ReasonNotOwner, model.ReasonLinkCap, model.ReasonNoServer, model.ReasonPeerUnreachable, model.ReasonStaleToken:
		return true
	}
	return false
}

// maySpill reports whether a request that one zone refused because of overload may go
// to another zone with free slots. A request spills at most once. It needs no retry
// budget, because it goes only where there is spare capacity.
func (s *Server) maySpill(ctx context.Context, q *request, p *progress, t target) bool {
	if p.overloaded || !retry.IsOverload(p.last.Reason) || p.last.Outcome != model.OutcomeNotRun || !q.body.replayable() {
		return false
	}
	if ctx.Err() != nil || !retry.FitsDeadline(time.Now(), q.deadline, minTimeForAttempt) {
		return false
	}
	p.overloaded = true
	p.tried = appendZone(p.tried, t.zone)
	s.metrics.spilled()
	return true
}

// mayRetry reports whether the request may be attempted again after f. It takes a
// token from the retry budget unless the attempt is a redirect.
func (s *Server) mayRetry(ctx context.Context, q *request, f *Failure) bool {
	if !retry.Retryable(q.class.Idempotent, f.Outcome, f.Reason) || !q.body.replayable() {
		return false
	}
	now := time.Now()
	if ctx.Err() != nil || !retry.FitsDeadline(now, q.deadline, minTimeForAttempt) {
		return false
	}
	if isRedirect(f.Reason) {
		s.metrics.redirected(f.Reason)
		return true
	}
	if !s.options.RetryBudget.Take(now, q.service, q.priority) {
		s.metrics.retryOverBudget()
		return false
	}
	s.metrics.retried(f.Reason)
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
