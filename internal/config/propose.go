package config

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/platform"

	"github.com/pkg/errors"
)

// Timings and bounds of proposals.
const (
	// proposeTimeout bounds a proposal with all its attempts.
	proposalTimeout = 20 * time.Second
	// gatherTimeout bounds one question to the entry VM that gathers a zone.
	zoneTimeout = 2 * time.Second
	// forwardTimeout bounds its questions to the others of the zone.
	vmTimeout = 1500 * time.Millisecond
	// refusalPatience is how long refusals that may pass are tried again.
	refusalRetryWindow = 4 * time.Second
	// attemptPause is the mean wait between two attempts.
	retryDelay = 100 * time.Millisecond
	// pieceBytes is the size of the pieces of a large change.
	maxPieceBytes = 192 << 10
)

// Result describes a committed change.
type Result struct {
	Revision model.Revision `json:"revision"`
	ChangeID ChangeID       `json:"change_id"`
	// Rebased says that other changes were committed after the change's base.
	Rebased bool `json:"rebased"`
	// Pending lists the entry VMs that acknowledged the change but were not
	// yet seen to have it in force.
	Pending []model.VMID `json:"pending,omitempty"`
	// Skipped lists the entry VMs that need not acknowledge it: excluded, or
	// known to be dead.
	Skipped []model.VMID `json:"skipped,omitempty"`
}

// UnresolvedError reports a change that may or may not have been committed:
// the store stopped answering in between.
type UnresolvedError struct {
	ChangeID ChangeID
}

// Error says how to find the outcome out.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("outcome of change %s is not known, since the store stopped answering: look for it in the history, or send it again under the same ID", e.ChangeID)
}

// ErrContended reports that other changes kept being committed first.
var ErrContended = errors.New("config: other changes kept being committed first: nothing was changed, try again")

// Propose has a change acknowledged by every live entry VM and commits it.
// Sending a change again under the same ID commits it once. It returns
// Problems, *ConflictError, *RefusedError, *UnresolvedError, ErrContended,
// ErrStoreBehind or ErrStoreUnavailable when the change is not, or may not be,
// in force.
func (s *Service) Propose(ctx context.Context, change Change) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	if change.ID == "" {
		change.ID = s.jitter.changeID()
	}
	retryUntil := s.now().Add(refusalRetryWindow)
	for {
		result, err := s.attemptCommit(ctx, &change)
		if !s.shouldRetry(err, retryUntil) || !s.jitter.sleep(ctx, retryDelay) {
			s.scope.Tagged(map[string]string{"outcome": outcomeTag(err)}).Counter("config_proposals").Inc(1)
			return result, publicError(err)
		}
	}
}

// transientError marks refusals that may pass by themselves.
type transientError struct{ *RefusedError }

func (s *Service) shouldRetry(err error, retryUntil time.Time) bool {
	var transient transientError
	if errors.As(err, &transient) {
		return s.now().Before(retryUntil)
	}
	return errors.Is(err, errHeadMoved)
}

// visible turns the errors that steer attempts into those of the package.
func publicError(err error) error {
	var transient transientError
	if errors.As(err, &transient) {
		return transient.RefusedError
	}
	if errors.Is(err, errHeadMoved) {
		return ErrContended
	}
	return err
}

func outcomeTag(err error) string {
	var (
		refused    *RefusedError
		transient  transientError
		conflict   *ConflictError
		unresolved *UnresolvedError
		problems   Problems
	)
	switch {
	case err == nil:
		return "committed"
	case errors.As(err, &problems):
		return "invalid"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &refused), errors.As(err, &transient):
		return "refused"
	case errors.As(err, &unresolved):
		return "unresolved"
	default:
		return "unavailable"
	}
}

// try makes one attempt to commit a change on the newest revision.
func (s *Service) attemptCommit(ctx context.Context, change *Change) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	head, err := s.syncHead(ctx)
	if err != nil {
		return Result{}, err
	}
	if done, ok := findCommitted(head, change); ok {
		return done, nil
	}
	if conflict := head.conflict(change.Base, change.Keys()); conflict != nil {
		return Result{}, conflict
	}
	base := s.activeVersion()
	if base.revision() != head.headRevision() {
		return Result{}, errHeadMoved
	}
	next, err := s.rules.prepare(base, *change)
	if err != nil {
		return Result{}, err
	}
	p := s.plan(ctx, base, change)
	if len(p.refusals) > 0 {
		return Result{}, transientError{&RefusedError{By: p.refusals}}
	}
	return s.runProposal(ctx, &proposal{change: change, base: base, next: next, head: head, plan: p})
}

// newest reads the head and puts it in force here.
func (s *Service) syncHead(ctx context.Context) (storedHead, error) {
	at := s.now()
	var head storedHead
	err := s.repo.retry(ctx, func(ctx context.Context) error {
		at = s.now()
		var err error
		head, err = s.repo.readHead(ctx, s.activeVersion().headOrNil())
		if errors.Is(err, ErrStoreUnavailable) {
			return platform.ErrUnavailable
		}
		return err
	})
	if err != nil {
		return head, err
	}
	return head, s.catchUp(ctx, head, at)
}

// committedBefore returns the result of a change that the head lists.
func findCommitted(head storedHead, change *Change) (Result, bool) {
	if head.Head == nil {
		return Result{}, false
	}
	c, ok := head.find(change.ID)
	if !ok {
		return Result{}, false
	}
	return Result{Revision: c.Revision, ChangeID: c.ChangeID, Rebased: rebased(change, c.Revision), Skipped: c.Excluded}, true
}

func rebased(change *Change, committed model.Revision) bool {
	return change.Base != 0 && committed != change.Base+1
}

// plan decides who must acknowledge a change. The platform's VM list is read
// only when some VM does not answer.
func (s *Service) plan(ctx context.Context, base *version, change *Change) plan {
	in := planInput{
		self:    s.self,
		zone:    s.zone,
		view:    s.view(),
		slots:   base.document().Slots,
		exclude: change.Exclude,
	}
	p := newPlan(in)
	if len(p.refusals) == 0 {
		return p
	}
	in.terminated = s.terminatedVMs(ctx)
	return newPlan(in)
}

// goneVMs returns a look-up of entry VMs that the platform does not run, nil
// when its list is not to be had.
func (s *Service) terminatedVMs(ctx context.Context) func(model.VMID) bool {
	if s.vms == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, err := s.vms.VMs(ctx)
	if err != nil {
		return nil
	}
	return func(vm model.VMID) bool {
		return !slices.ContainsFunc(list, func(listed platform.VM) bool {
			return listed.ID == string(vm) && listed.State == platform.VMLive
		})
	}
}

// proposal is one attempt with what it needs.
type proposal struct {
	change *Change
	base   *version
	next   *version
	head   storedHead
	plan   plan
}

func (p *proposal) attemptID() attemptID {
	return attemptID{change: p.change.ID, base: p.base.revision()}
}

// agree gathers acknowledgements and commits, or withdraws the attempt.
func (s *Service) runProposal(ctx context.Context, p *proposal) (Result, error) {
	answers, err := s.collectAcks(ctx, p)
	if err == nil && !s.rules.accepted(answers) {
		err = s.refusal(p, answers)
	}
	if err == nil {
		err = s.commit(ctx, p)
	}
	if errors.Is(err, errUnresolved) {
		return Result{}, &UnresolvedError{ChangeID: p.change.ID}
	}
	if err != nil {
		s.withdraw(p)
		return Result{}, err
	}
	return s.completeProposal(ctx, p), nil
}

func allAcked(answers []proposeAnswer) bool {
	return !slices.ContainsFunc(answers, func(a proposeAnswer) bool { return a.Verdict != verdictAck })
}

// refusal lists the answers that refuse. It is final if any of them is.
func (s *Service) refusal(p *proposal, answers []proposeAnswer) error {
	refused := new(RefusedError)
	final := false
	for _, a := range answers {
		if a.Verdict == verdictAck {
			continue
		}
		final = final || a.Verdict == verdictInvalid
		refused.By = append(refused.By, Refusal{VM: a.VM, Zone: p.plan.zoneOf(a.VM), Reason: a.Reason})
	}
	if final {
		return refused
	}
	return transientError{refused}
}

func (p *plan) zoneOf(vm model.VMID) model.Zone {
	for _, g := range p.required {
		if slices.Contains(g.vms, vm) {
			return g.zone
		}
	}
	return ""
}

// commit writes the objects and then the head.
func (s *Service) commit(ctx context.Context, p *proposal) error {
	if err := s.repo.saveObjects(ctx, p.next.objects, p.base.objectsOrNil()); err != nil {
		return err
	}
	if p.head.Head != nil {
		if err := s.repo.saveHistory(ctx, p.head); err != nil {
			return err
		}
	}
	commit := Commit{
		Revision: p.next.revision(),
		ChangeID: p.change.ID,
		Operator: p.change.Operator,
		Time:     s.now().UTC(),
		Keys:     p.change.Keys(),
		Excluded: p.plan.skipped[:min(len(p.plan.skipped), maxCommitKeys)],
	}
	p.next = p.next.committed(p.base, commit)
	return s.repo.commit(ctx, p.next.head, p.head)
}

// withdraw tells everyone asked that the attempt will not be committed.
func (s *Service) withdraw(p *proposal) {
	req := &proposeRequest{Change: p.change.ID, Base: p.base.revision(), Proposer: s.self, Withdraw: true}
	s.handleWithdraw(req)
	for _, zone := range p.plan.required {
		targets := without(zone.vms, s.self)
		if len(targets) == 0 {
			continue
		}
		forwarded := *req
		forwarded.Forward = targets[1:]
		_ = s.links.Send(targets[0], peer.KindConfigPropose, &forwarded)
	}
}

// finish puts a committed change in force here and announces it.
func (s *Service) completeProposal(ctx context.Context, p *proposal) Result {
	s.adopt(p.next, "own commit")
	ctx = context.WithoutCancel(ctx)
	adopted := s.announce(ctx, p)
	result := Result{
		Revision: p.next.revision(),
		ChangeID: p.change.ID,
		Rebased:  rebased(p.change, p.next.revision()),
		Skipped:  p.plan.skipped,
	}
	for _, vm := range p.plan.requiredVMs() {
		if vm != s.self && !slices.Contains(adopted, vm) {
			result.Pending = append(result.Pending, vm)
		}
	}
	return result
}

// announce tells one entry VM of each zone that a change is committed, and
// returns all that have it in force.
func (s *Service) announce(ctx context.Context, p *proposal) []model.VMID {
	commit, err := json.Marshal(p.next.head.Commit)
	if err != nil {
		s.log.Error("commit not announced", "err", err)
		return nil
	}
	ann := announcement{Change: p.change.ID, Revision: p.next.revision(), Commit: commit, Timeout: zoneTimeout}
	adopted := make([][]model.VMID, len(p.plan.required))
	var group sync.WaitGroup
	for i, zone := range p.plan.required {
		targets := without(zone.vms, s.self)
		if len(targets) == 0 {
			continue
		}
		forwarded := ann
		forwarded.Forward = targets[1:]
		group.Go(func() { adopted[i] = s.announceToVM(ctx, targets[0], &forwarded) })
	}
	group.Wait()
	return slices.Concat(adopted...)
}
