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
	pollInterval = time.Second
	// pullTimeout bounds one question to a peer.
	peerTimeout = time.Second
	// fetchTimeout bounds the transfer of a whole revision.
	fetchTimeout = 10 * time.Second
	// watchTimeout bounds one waiting watch of the head.
	watchTimeout = 20 * time.Second
	// staleAfter is the age at which an entry VM that isn't its zone's watcher
	// looks further than the watcher.
	staleAfter = ConfirmFor * 3 / 4
	// announcePatience is the mean time that a watcher waits for the
	// announcement of a commit that its watch has seen.
	announceWait = 200 * time.Millisecond
	// objectsPerFetch bounds the objects asked for in one message.
	objectsPerFetch = 2
)

// errStaleSource reports a peer whose own revision is not confirmed, which a
// process that has just started does not adopt from.
var errUnconfirmedPeer = errors.New("config: the peer's revision is not confirmed")

// follow looks for a newer revision until ctx ends.
func (s *Service) pollLoop(ctx context.Context) {
	confirmed := false
	for ctx.Err() == nil {
		s.poll(ctx)
		confirmed = s.reportConfirmation(confirmed)
		s.waitForPoll(ctx)
	}
}

// noteIsolation logs, counts and explains when this entry VM became isolated
// or ceased to be. It returns whether the VM is confirmed now.
func (s *Service) reportConfirmation(wasConfirmed bool) bool {
	now := s.now()
	confirmed := s.Confirmed(now)
	if confirmed == wasConfirmed {
		return confirmed
	}
	decision := explain.Decision{
		At:       now,
		VM:       s.self,
		Kind:     explain.KindAdoption,
		Revision: s.activeVersion().revision(),
		Zone:     s.zone,
		Detail:   "the revision in force is confirmed: takes part in shifts",
	}
	if !confirmed {
		decision.Reason = model.ReasonIsolated
		decision.Detail = fmt.Sprintf("no evidence for %s that the revision in force is the newest: serves its own place only", ConfirmFor)
		s.scope.Counter("config_isolations").Inc(1)
	}
	s.log.Info("confirmation changed", "revision", decision.Revision, "confirmed", confirmed)
	s.explain.Record(decision)
	return confirmed
}

func (s *Service) waitForPoll(ctx context.Context) {
	timer := time.NewTimer(s.jitter.duration(pollInterval))
	defer timer.Stop()
	select {
	case <-s.pollNow:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// wake makes follow look for a newer revision now.
func (s *Service) triggerPoll() {
	select {
	case s.pollNow <- struct{}{}:
	default:
	}
}

// refresh looks for a newer revision once. One entry VM of a zone, the
// watcher, asks the store; the others ask the watcher.
func (s *Service) poll(ctx context.Context) {
	view := s.view()
	watcher, known := zoneWatcher(view, s.zone)
	if !known || watcher == s.self {
		s.pollStore(ctx, view)
		return
	}
	if err := s.syncFromPeer(ctx, watcher); err != nil {
		s.log.Debug("zone's watcher gave no revision", "watcher", watcher, "err", err)
	}
	if !s.isStale() {
		return
	}
	s.pollStore(ctx, view)
}

func (s *Service) isStale() bool {
	_, age, known := s.activeAge(s.now())
	return !known || age > staleAfter
}

func (s *Service) pollStore(ctx context.Context, view *membership.View) {
	at := s.now()
	head, err := s.repo.readHead(ctx, s.activeVersion().headOrNil())
	if err == nil {
		err = s.catchUp(ctx, head, at)
	}
	if err == nil {
		return
	}
	s.scope.Counter("config_store_failures").Inc(1)
	s.log.Debug("no revision from the store", "err", err)
	s.pollPeers(ctx, view)
}

// catchUp adopts the head read from the store if it is higher than the
// revision in force. The head was the newest at the instant at.
func (s *Service) catchUp(ctx context.Context, head storedHead, at time.Time) error {
	r := head.headRevision()
	inForce := s.activeVersion().revision()
	higher := s.rules.higher(inForce, r)
	if r < inForce && !higher {
		s.scope.Counter("config_store_behind").Inc(1)
		s.log.Error("store holds a lower revision than the one in force", "store", r, "revision", inForce)
		return ErrStoreBehind
	}
	if higher {
		v, err := s.loadVersion(ctx, head.Head)
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

func (s *Service) loadVersion(ctx context.Context, head *Head) (*version, error) {
	if v, ok := s.preparedVersion(head.Commit); ok {
		return v, nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	loaded, err := s.repo.loadObjects(ctx, head.Manifest, s.localObjectLookup())
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
func (s *Service) preparedVersion(c Commit) (*version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	base := c.Revision - 1
	v, ok := s.acks.prepared(attemptID{change: c.ChangeID, base: base})
	if !ok || s.active.revision() != base {
		return nil, false
	}
	return v.committed(s.active, c), true
}

// atHand returns a look-up of the objects of the revision in force.
func (s *Service) localObjectLookup() func(Hash) []byte {
	active := s.activeVersion().objectsOrNil()
	return func(h Hash) []byte {
		if active == nil {
			return nil
		}
		return active.data[h]
	}
}

// pull asks a peer for its revision, adopts it if higher, and takes over what
// the peer knows of its freshness.
func (s *Service) syncFromPeer(ctx context.Context, vm model.VMID) error {
	req := s.newFetchRequest(vm)
	answer, err := s.queryPeer(ctx, vm, &req)
	if err != nil {
		return err
	}
	return s.applyPeerAnswer(ctx, answer)
}

// peerAnswer is a peer's reply with the instant before it was asked for.
type peerAnswer struct {
	vm     model.VMID
	reply  fetchReply
	sentAt time.Time
}

func (s *Service) queryPeer(ctx context.Context, vm model.VMID, req *fetchRequest) (peerAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer := peerAnswer{vm: vm, sentAt: s.now()}
	if err := s.links.Call(ctx, vm, peer.KindConfigFetch, req, &answer.reply); err != nil {
		return answer, errors.Wrapf(err, "ask %s", vm)
	}
	s.storePeerStamp(vm, answer.reply.Stamp)
	return answer, nil
}

func (s *Service) applyPeerAnswer(ctx context.Context, a peerAnswer) error {
	if s.rules.higher(s.activeVersion().revision(), a.reply.Revision) {
		if !s.acceptsFrom(a) {
			return errUnconfirmedPeer
		}
		if err := s.fetch(ctx, a.vm); err != nil {
			return err
		}
	}
	if a.reply.AgeKnown {
		s.observe(a.reply.Revision, a.sentAt.Add(-a.reply.Age))
	}
	return nil
}

// trusts reports whether a process without configuration may adopt the peer's:
// at once when it is confirmed, else only after looking for a better source.
func (s *Service) acceptsFrom(a peerAnswer) bool {
	if s.activeVersion() != nil {
		return true
	}
	if a.reply.AgeKnown && a.reply.Age <= ConfirmFor {
		return true
	}
	return s.now().Sub(s.started) > ConfirmFor
}

// fetch gets the revision that the peer has in force, and adopts it.
func (s *Service) fetch(ctx context.Context, vm model.VMID) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req := s.newFetchRequest(vm)
	req.WantHead = true
	var reply fetchReply
	if err := s.links.Call(ctx, vm, peer.KindConfigFetch, &req, &reply); err != nil {
		return errors.Wrapf(err, "fetch head from %s", vm)
	}
	head, err := decodeHead(reply.Head)
	if err != nil {
		return err
	}
	if v, ok := s.preparedVersion(head.Commit); ok {
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
	local := s.localObjectLookup()
	var missing []Hash
	for _, entry := range manifest {
		if data := local(entry.Hash); data != nil {
			out.data[entry.Hash] = data
			continue
		}
		missing = append(missing, entry.Hash)
	}
	return out, s.fetchByHash(ctx, vm, missing, out.data)
}

// fetchByHash gets objects from a peer into data, a few a message.
func (s *Service) fetchByHash(ctx context.Context, vm model.VMID, hashes []Hash, data map[Hash][]byte) error {
	for len(hashes) > 0 {
		batch := hashes[:min(len(hashes), objectsPerFetch)]
		hashes = hashes[len(batch):]
		req := s.newFetchRequest(vm)
		req.Objects = batch
		var reply fetchReply
		if err := s.links.Call(ctx, vm, peer.KindConfigFetch, &req, &reply); err != nil {
			return errors.Wrapf(err, "fetch objects from %s", vm)
		}
		for _, object := range reply.Objects {
			data[hashOf(object)] = object
		}
		for _, h := range batch {
			if data[h] == nil {
				return errors.Wrapf(ErrBadObject, "%s has no object %s", vm, h)
			}
		}
	}
	return nil
}

// askPeers stands in for the store: it takes over the freshest answer of other
// zones, else rests on what more than half of the slots report.
func (s *Service) pollPeers(ctx context.Context, view *membership.View) {
	answers := s.queryPeers(ctx, s.peersToPoll(view))
	for len(answers) > 0 {
		best := highestRevision(answers)
		a := answers[best]
		answers = append(answers[:best], answers[best+1:]...)
		if err := s.applyPeerAnswer(ctx, a); err != nil {
			s.log.Debug("no revision from peer", "peer", a.vm, "err", err)
		}
		s.recordZoneEvidence(a)
	}
	s.confirmByMajority()
}

// highest returns the index of the answer with the highest revision.
func highestRevision(answers []peerAnswer) int {
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
func (s *Service) peersToPoll(view *membership.View) []model.VMID {
	if view == nil {
		return nil
	}
	added := map[model.VMID]bool{s.self: true}
	var out []model.VMID
	for _, m := range view.Members {
		vm, ok := zoneWatcher(view, m.Zone)
		if s.activeVersion() == nil {
			vm, ok = m.VM, isReachable(m)
		}
		if !ok || added[vm] || (m.Zone == s.zone && s.activeVersion() != nil) {
			continue
		}
		added[vm] = true
		out = append(out, vm)
	}
	return out
}

// askAll asks peers side by side and returns the answers that came.
func (s *Service) queryPeers(ctx context.Context, vms []model.VMID) []peerAnswer {
	var (
		mu      sync.Mutex
		answers []peerAnswer
		group   sync.WaitGroup
	)
	for _, vm := range vms {
		group.Go(func() {
			req := s.newFetchRequest(vm)
			req.WantAges = true
			answer, err := s.queryPeer(ctx, vm, &req)
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
func (s *Service) watchLoop(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		watcher, known := zoneWatcher(s.view(), s.zone)
		if known && watcher != s.self {
			s.jitter.sleep(ctx, pollInterval)
			continue
		}
		entries, latest, err := s.watchOnce(ctx, after)
		if err != nil {
			s.jitter.sleep(ctx, pollInterval)
			continue
		}
		after = latest
		s.handleHeadChange(ctx, entries)
	}
}

func (s *Service) watchOnce(ctx context.Context, after uint64) ([]platform.Entry, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return s.repo.store.Watch(ctx, headKey, after)
}

// awaitNews gives the announcement of a commit seen by the watch some time to
// arrive, since it spares reading the store, and else looks for the revision.
func (s *Service) handleHeadChange(ctx context.Context, entries []platform.Entry) {
	if !s.containsNewerRevision(entries) {
		return
	}
	s.jitter.sleep(ctx, announceWait)
	if s.containsNewerRevision(entries) {
		s.triggerPoll()
	}
}

func (s *Service) containsNewerRevision(entries []platform.Entry) bool {
	for _, entry := range entries {
		p, err := decodePointer(entry.Value)
		if err != nil || p.Revision > s.activeVersion().revision() {
			return true
		}
	}
	return false
}
