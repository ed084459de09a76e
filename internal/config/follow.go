package config

import (
	"context"
	"fmt"
	"sync"
	"time"

	"fuchsiaspar/internal/explain"
	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/platform"

	"github.com/pkg/errors"
)

// Timings of following the newest configuration.
const (
	// pullEvery is the mean time between two looks for a newer revision.
	pullEvery = time.Second
	// pullTimeout bounds one question to a peer.
	pullTimeout = time.Second
	// fetchTimeout bounds the transfer of a whole revision.
	fetchTimeout = 10 * time.Second
	// watchTimeout bounds one waiting watch of the head.
	watchTimeout = 20 * time.Second
	// staleAfter is the age at which an entry VM that isn't its zone's watcher
	// looks further than the watcher.
	staleAfter = ConfirmationTTL * 3 / 4
	// announcePatience is the mean time that a watcher waits for the
	// announcement of a commit that its watch has seen.
	announcePatience = 200 * time.Millisecond
	// objectsPerFetch bounds the objects asked for in one message.
	objectsPerFetch = 2
)

// errStaleSource reports a peer whose own revision is not confirmed, which a
// process that has just started does not adopt from.
var errStaleSource = errors.New("config: the peer's revision is not confirmed")

// follow looks for a newer revision until ctx ends.
func (s *Service) follow(ctx context.Context) {
	confirmed := false
	for ctx.Err() == nil {
		s.refresh(ctx)
		confirmed = s.noteIsolation(confirmed)
		s.awaitKick(ctx)
	}
}

// noteIsolation logs, counts and explains when this entry VM became isolated
// or ceased to be. It returns whether the VM is confirmed now.
func (s *Service) noteIsolation(before bool) bool {
	now := s.now()
	confirmed := s.Confirmed(now)
	if confirmed == before {
		return confirmed
	}
	decision := explain.Decision{
		At:       now,
		VM:       s.self,
		Kind:     explain.KindAdoption,
		Revision: s.installed().revision(),
		Zone:     s.zone,
		Detail:   "the revision in force is confirmed: takes part in shifts",
	}
	if !confirmed {
		decision.Reason = model.ReasonIsolated
		decision.Detail = fmt.Sprintf("no evidence for %s that the revision in force is the newest: serves its own place only", ConfirmationTTL)
		s.scope.Counter("config_isolations").Inc(1)
	}
	s.log.Info("confirmation changed", "revision", decision.Revision, "confirmed", confirmed)
	s.explain.Record(decision)
	return confirmed
}

func (s *Service) awaitKick(ctx context.Context) {
	timer := time.NewTimer(s.jitter.around(pullEvery))
	defer timer.Stop()
	select {
	case <-s.kick:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// wake makes follow look for a newer revision now.
func (s *Service) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// refresh looks for a newer revision once. One entry VM of a zone, the
// watcher, asks the store; the others ask the watcher.
func (s *Service) refresh(ctx context.Context) {
	view := s.view()
	watcher, known := watcherOf(view, s.zone)
	if !known || watcher == s.self {
		s.refreshAsWatcher(ctx, view)
		return
	}
	if err := s.pull(ctx, watcher); err != nil {
		s.log.Debug("zone's watcher gave no revision", "watcher", watcher, "err", err)
	}
	if !s.stale() {
		return
	}
	s.refreshAsWatcher(ctx, view)
}

func (s *Service) stale() bool {
	_, age, known := s.freshAge(s.now())
	return !known || age > staleAfter
}

func (s *Service) refreshAsWatcher(ctx context.Context, view *membership.View) {
	at := s.now()
	head, err := s.repo.readHead(ctx, s.installed().headOrNil())
	if err == nil {
		err = s.catchUp(ctx, head, at)
	}
	if err == nil {
		return
	}
	s.scope.Counter("config_store_failures").Inc(1)
	s.log.Debug("no revision from the store", "err", err)
	s.askPeers(ctx, view)
}

// catchUp adopts the head read from the store if it is higher than the
// revision in force. The head was the newest at the instant at.
func (s *Service) catchUp(ctx context.Context, head storedHead, at time.Time) error {
	r := head.headRevision()
	inForce := s.installed().revision()
	higher := s.rules.higher(inForce, r)
	if r < inForce && !higher {
		s.scope.Counter("config_store_behind").Inc(1)
		s.log.Error("store holds a lower revision than the one in force", "store", r, "revision", inForce)
		return ErrStoreBehind
	}
	if higher {
		v, err := s.versionFromStore(ctx, head.Head)
		if err != nil {
			s.log.Error("configuration not adopted", "revision", r, "err", err)
			return err
		}
		s.adopt(v, "store")
	}
	s.observe(r, at)
	return nil
}

// ErrStoreBehind reports a store that has lost revisions that were in force.
var ErrStoreBehind = errors.New("config: the store holds a lower revision than the one in force: restore it before changing anything")

func (s *Service) versionFromStore(ctx context.Context, head *Head) (*version, error) {
	if v, ok := s.preparedFor(head.Commit); ok {
		return v, nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	loaded, err := s.repo.load(ctx, head.Manifest, s.atHand())
	if err != nil {
		return nil, err
	}
	return newVersion(head, loaded)
}

func newVersion(head *Head, o *objects) (*version, error) {
	doc, err := decodeObjects(head.Revision, o)
	if err != nil {
		return nil, err
	}
	return &version{head: head, doc: doc, objects: o}, nil
}

// preparedFor returns the acknowledged version that commit put in force.
func (s *Service) preparedFor(c Commit) (*version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	base := c.Revision - 1
	v, ok := s.acks.prepared(attempt{change: c.ChangeID, base: base})
	if !ok || s.inForce.revision() != base {
		return nil, false
	}
	return v.committed(s.inForce, c), true
}

// atHand returns a look-up of the objects of the revision in force.
func (s *Service) atHand() func(Hash) []byte {
	held := s.installed().objectsOrNil()
	return func(h Hash) []byte {
		if held == nil {
			return nil
		}
		return held.data[h]
	}
}

// pull asks a peer for its revision, adopts it if higher, and takes over what
// the peer knows of its freshness.
func (s *Service) pull(ctx context.Context, vm model.VMID) error {
	req := s.request(vm)
	answer, err := s.ask(ctx, vm, &req)
	if err != nil {
		return err
	}
	return s.takeOver(ctx, answer)
}

// peerAnswer is a peer's reply with the instant before it was asked for.
type peerAnswer struct {
	vm    model.VMID
	reply fetchReply
	asked time.Time
}

func (s *Service) ask(ctx context.Context, vm model.VMID, req *fetchRequest) (peerAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	answer := peerAnswer{vm: vm, asked: s.now()}
	if err := s.links.Call(ctx, vm, peer.KindConfigFetch, req, &answer.reply); err != nil {
		return answer, errors.Wrapf(err, "ask %s", vm)
	}
	s.keepEcho(vm, answer.reply.Stamp)
	return answer, nil
}

func (s *Service) takeOver(ctx context.Context, a peerAnswer) error {
	if s.rules.higher(s.installed().revision(), a.reply.Revision) {
		if !s.trusts(a) {
			return errStaleSource
		}
		if err := s.fetch(ctx, a.vm); err != nil {
			return err
		}
	}
	if a.reply.Fresh {
		s.observe(a.reply.Revision, a.asked.Add(-a.reply.Age))
	}
	return nil
}

// trusts reports whether a process without configuration may adopt the peer's:
// at once when it is confirmed, else only after looking for a better source.
func (s *Service) trusts(a peerAnswer) bool {
	if s.installed() != nil {
		return true
	}
	if a.reply.Fresh && a.reply.Age <= ConfirmationTTL {
		return true
	}
	return s.now().Sub(s.started) > ConfirmationTTL
}

// fetch gets the revision that the peer has in force, and adopts it.
func (s *Service) fetch(ctx context.Context, vm model.VMID) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req := s.request(vm)
	req.WantHead = true
	var reply fetchReply
	if err := s.links.Call(ctx, vm, peer.KindConfigFetch, &req, &reply); err != nil {
		return errors.Wrapf(err, "fetch head from %s", vm)
	}
	head, err := decodeHead(reply.Head)
	if err != nil {
		return err
	}
	if v, ok := s.preparedFor(head.Commit); ok {
		s.adopt(v, string(vm))
		return nil
	}
	loaded, err := s.fetchObjects(ctx, vm, head.Manifest)
	if err != nil {
		return err
	}
	v, err := newVersion(head, loaded)
	if err != nil {
		return err
	}
	s.adopt(v, string(vm))
	return nil
}

// fetchObjects returns the objects of a manifest, getting from the peer those
// that are not at hand.
func (s *Service) fetchObjects(ctx context.Context, vm model.VMID, manifest []ManifestEntry) (*objects, error) {
	out := &objects{manifest: manifest, data: make(map[Hash][]byte, len(manifest))}
	atHand := s.atHand()
	var wanted []Hash
	for _, entry := range manifest {
		if data := atHand(entry.Hash); data != nil {
			out.data[entry.Hash] = data
			continue
		}
		wanted = append(wanted, entry.Hash)
	}
	return out, s.fetchByHash(ctx, vm, wanted, out.data)
}

// fetchByHash gets objects from a peer into data, a few a message.
func (s *Service) fetchByHash(ctx context.Context, vm model.VMID, wanted []Hash, data map[Hash][]byte) error {
	for len(wanted) > 0 {
		some := wanted[:min(len(wanted), objectsPerFetch)]
		wanted = wanted[len(some):]
		req := s.request(vm)
		req.Objects = some
		var reply fetchReply
		if err := s.links.Call(ctx, vm, peer.KindConfigFetch, &req, &reply); err != nil {
			return errors.Wrapf(err, "fetch objects from %s", vm)
		}
		for _, object := range reply.Objects {
			data[hashOf(object)] = object
		}
		for _, h := range some {
			if data[h] == nil {
				return errors.Wrapf(ErrBadObject, "%s has no object %s", vm, h)
			}
		}
	}
	return nil
}

// askPeers stands in for the store: it takes over the freshest answer of other
// zones, else rests on what more than half of the slots report.
func (s *Service) askPeers(ctx context.Context, view *membership.View) {
	answers := s.askAll(ctx, s.sources(view))
	for len(answers) > 0 {
		best := highest(answers)
		a := answers[best]
		answers = append(answers[:best], answers[best+1:]...)
		if err := s.takeOver(ctx, a); err != nil {
			s.log.Debug("no revision from peer", "peer", a.vm, "err", err)
		}
		s.keepEvidence(a)
	}
	s.restOnMajority()
}

// highest returns the index of the answer with the highest revision.
func highest(answers []peerAnswer) int {
	best := 0
	for i := range answers {
		if answers[i].reply.Revision > answers[best].reply.Revision {
			best = i
		}
	}
	return best
}

// sources returns the peers to ask when the store is silent: the watchers of
// the other zones and, before the first adoption, every member.
func (s *Service) sources(view *membership.View) []model.VMID {
	if view == nil {
		return nil
	}
	seen := map[model.VMID]bool{s.self: true}
	var out []model.VMID
	for _, m := range view.Members {
		vm, ok := watcherOf(view, m.Zone)
		if s.installed() == nil {
			vm, ok = m.VM, answers(m)
		}
		if !ok || seen[vm] || (m.Zone == s.zone && s.installed() != nil) {
			continue
		}
		seen[vm] = true
		out = append(out, vm)
	}
	return out
}

// askAll asks peers side by side and returns the answers that came.
func (s *Service) askAll(ctx context.Context, vms []model.VMID) []peerAnswer {
	var (
		mu      sync.Mutex
		answers []peerAnswer
		group   sync.WaitGroup
	)
	for _, vm := range vms {
		group.Go(func() {
			req := s.request(vm)
			req.WantAges = true
			answer, err := s.ask(ctx, vm, &req)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, answer)
		})
	}
	group.Wait()
	return answers
}

// watch waits for changes of the head while this entry VM is its zone's
// watcher, until ctx ends.
func (s *Service) watch(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		watcher, known := watcherOf(s.view(), s.zone)
		if known && watcher != s.self {
			s.jitter.pause(ctx, pullEvery)
			continue
		}
		entries, newest, err := s.watchOnce(ctx, after)
		if err != nil {
			s.jitter.pause(ctx, pullEvery)
			continue
		}
		after = newest
		s.awaitNews(ctx, entries)
	}
}

func (s *Service) watchOnce(ctx context.Context, after uint64) ([]platform.Entry, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return s.repo.store.Watch(ctx, headKey, after)
}

// awaitNews gives the announcement of a commit seen by the watch some time to
// arrive, since it spares reading the store, and else looks for the revision.
func (s *Service) awaitNews(ctx context.Context, entries []platform.Entry) {
	if !s.higherThanInForce(entries) {
		return
	}
	s.jitter.pause(ctx, announcePatience)
	if s.higherThanInForce(entries) {
		s.wake()
	}
}

func (s *Service) higherThanInForce(entries []platform.Entry) bool {
	for _, entry := range entries {
		p, err := decodePointer(entry.Value)
		if err != nil || p.Revision > s.installed().revision() {
			return true
		}
	}
	return false
}
