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

// Timeouts and limits of proposals.
const (
	// proposalTimeout bounds a proposal with all its attempts.
	proposalTimeout = 20 * time.Second
	// zoneTimeout bounds a request to the entry VM that coordinates a zone.
	zoneTimeout = 2 * time.Second
	// vmTimeout bounds the requests from that VM to the others of its zone. It
	// is shorter than zoneTimeout, to leave time for the reply.
	vmTimeout = 1500 * time.Millisecond
	// refusalRetryWindow is how long a proposal is retried after temporary
	// refusals.
	refusalRetryWindow = 4 * time.Second
	// retryDelay is the mean wait between two attempts.
	retryDelay = 100 * time.Millisecond
	// maxPieceBytes is the maximum size of a change that is sent in the request
	// itself, and the size of the pieces of a larger one.
	maxPieceBytes = 192 << 10
)

// Result describes a committed change.
type Result struct {
	Revision model.Revision `json:"revision"`
	ChangeID ChangeID       `json:"change_id"`
	// Rebased reports that other changes were committed after the change's
	// base.
	Rebased bool `json:"rebased"`
	// Pending lists the entry VMs that acknowledged the change but have not yet
	// reported it as active.
	Pending []model.VMID `json:"pending,omitempty"`
	// Skipped lists the entry VMs that did not have to acknowledge the change
	// because they were excluded or known to be dead.
	Skipped []model.VMID `json:"skipped,omitempty"`
}

// UnresolvedError is returned for a change that may or may not have been
// committed, because the store stopped responding during the commit.
type UnresolvedError struct {
	ChangeID ChangeID
}

// Error describes how to determine the outcome.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("outcome of change %s is not known, since the store stopped answering: look for it in the history, or send it again under the same ID", e.ChangeID)
}

// ErrContended is returned when the change was not committed because other
// changes were repeatedly committed first.
var ErrContended = errors.New("config: other changes kept being committed first: nothing was changed, try again")

// Propose has a change acknowledged by every live entry VM and commits it. It
// is idempotent for a given change ID; an empty ID is replaced by a random one.
//
// It returns Problems, *ConflictError, *RefusedError, ErrContended,
// ErrStoreBehind or ErrStoreUnavailable if the change was not committed, and
// *UnresolvedError if the outcome is unknown.
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

// transientError marks a refusal that may succeed on retry.
type transientError struct{ *RefusedError }

func (s *Service) shouldRetry(err error, retryUntil time.Time) bool {
	var transient transientError
	if errors.As(err, &transient) {
		return s.now().Before(retryUntil)
	}
	if errors.Is(err, errTooManyAcks) {
		return s.now().Before(retryUntil)
	}
	return errors.Is(err, errHeadMoved)
}

// publicError converts internal errors that control retries into the package's
// exported errors.
func publicError(err error) error {
	var transient transientError
	if errors.As(err, &transient) {
		return transient.RefusedError
	}
	if errors.Is(err, errHeadMoved) || errors.Is(err, errTooManyAcks) {
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

// attemptCommit makes one attempt to commit a change on the latest revision.
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

// syncHead reads the head from the store and adopts its revision.
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

// findCommitted returns the result of a change that is listed in the head.
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

// plan determines which entry VMs must acknowledge a change. It reads the
// platform's VM list only if some VM is unreachable.
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

// terminatedVMs returns a function that reports whether the platform no longer
// runs an entry VM, or nil if the VM list is not available.
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

// proposal is one attempt to commit a change, with the state it is based on.
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

// runProposal collects acknowledgements and commits the attempt, or withdraws
// it.
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

// refusal returns an error that lists the refusals among answers. It is a
// transientError unless one of them is final.
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

// withdraw informs all entry VMs asked that the attempt will not be committed.
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

// completeProposal activates a committed change on this entry VM and announces
// it.
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

// announce informs one entry VM of each zone that a change is committed, which
// forwards it. It returns all VMs that have the change active.
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
