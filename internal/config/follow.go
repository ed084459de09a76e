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

// Intervals and timeouts for following the latest revision.
const (
	// pollInterval is the mean time between two polls for a newer revision.
	pollInterval = time.Second
	// peerTimeout bounds one query to a peer.
	peerTimeout = time.Second
	// fetchTimeout bounds the transfer of a whole revision.
	fetchTimeout = 10 * time.Second
	// watchTimeout bounds one long poll on the head.
	watchTimeout = 20 * time.Second
	// staleAfter is the age of the confirmation at which an entry VM stops
	// relying on its zone's watcher alone and polls the store itself.
	staleAfter = ConfirmationTTL * 3 / 4
	// announceWait is the mean time that a watcher waits for the announcement
	// of a commit that it saw in the store.
	announceWait = 200 * time.Millisecond
	// objectsPerFetch bounds the objects requested in one message.
	objectsPerFetch = 2
)

// errUnconfirmedPeer is returned when a process that has just started is
// offered the revision of a peer that is not itself confirmed.
var errUnconfirmedPeer = errors.New("config: the peer's revision is not confirmed")

// pollLoop polls for newer revisions until ctx is done.
func (s *Service) pollLoop(ctx context.Context) {
	confirmed := false
	for ctx.Err() == nil {
		s.poll(ctx)
		confirmed = s.reportConfirmation(confirmed)
		s.waitForPoll(ctx)
	}
}

// reportConfirmation logs, counts and explains a change of this entry VM
// between confirmed and isolated. It returns whether the VM is now confirmed.
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
		decision.Detail = fmt.Sprintf("no evidence for %s that the revision in force is the newest: serves its own place only", ConfirmationTTL)
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

// triggerPoll makes pollLoop poll immediately.
func (s *Service) triggerPoll() {
	select {
	case s.pollNow <- struct{}{}:
	default:
	}
}

// poll looks for a newer revision once. One entry VM per zone, the watcher,
// reads the store; the others query the watcher.
func (s *Service) poll(ctx context.Context) {
	view := s.view()
	watcher, known := zoneWatcher(view, s.zone)
	if !known || watcher == s.self {
		s.pollStore(ctx, view)
		return
	}
	if err := s.syncFromPeer(ctx, watcher); err != nil {
		s.log.Debug("no revision from the zone's watcher", "watcher", watcher, "err", err)
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

// catchUp adopts the head read from the store if it is above the active
// revision. The head was the latest at the time at. It returns ErrStoreBehind
// if the head is below the active revision.
func (s *Service) catchUp(ctx context.Context, head storedHead, at time.Time) error {
	r := head.headRevision()
	active := s.activeVersion().revision()
	higher := s.rules.higher(active, r)
	if r < active && !higher {
		s.scope.Counter("config_store_behind").Inc(1)
		s.log.Error("store is behind the active revision", "store", r, "revision", active)
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

// ErrStoreBehind is returned when the store holds an older head than the active
// revision, which means that it has lost committed revisions.
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

// preparedVersion returns the acknowledged version that the commit c made
// active.
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

// localObjectLookup returns a function that returns the data of an object of
// the active revision, or nil.
func (s *Service) localObjectLookup() func(Hash) []byte {
	active := s.activeVersion().objectsOrNil()
	return func(h Hash) []byte {
		if active == nil {
			return nil
		}
		return active.data[h]
	}
}

// syncFromPeer queries a peer for its revision, adopts it if it is higher, and
// takes over the peer's knowledge of how recent it is.
func (s *Service) syncFromPeer(ctx context.Context, vm model.VMID) error {
	req := s.newFetchRequest(vm)
	answer, err := s.queryPeer(ctx, vm, &req)
	if err != nil {
		return err
	}
	return s.applyPeerAnswer(ctx, answer)
}

// peerAnswer is a peer's reply and the time before the request was sent.
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

// acceptsFrom reports whether to adopt the peer's revision. A process that has
// no active revision adopts a confirmed one immediately, and an unconfirmed one
// only after it has looked for a confirmed one for ConfirmationTTL.
func (s *Service) acceptsFrom(a peerAnswer) bool {
	if s.activeVersion() != nil {
		return true
	}
	if a.reply.AgeKnown && a.reply.Age <= ConfirmationTTL {
		return true
	}
	return s.now().Sub(s.startedAt) > ConfirmationTTL
}

// fetch downloads and adopts the active revision of a peer.
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

// fetchObjects returns the objects of a manifest, downloading from the peer
// those that this entry VM does not have.
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

// fetchByHash downloads objects from a peer into data, objectsPerFetch per
// message.
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

// pollPeers replaces reading the store while it is unavailable. It applies the
// answers of other zones, highest revision first, and then relies on the
// evidence of more than half of the slots.
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

// highestRevision returns the index of the answer with the highest revision.
func highestRevision(answers []peerAnswer) int {
	best := 0
	for i := range answers {
		if answers[i].reply.Revision > answers[best].reply.Revision {
			best = i
		}
	}
	return best
}

// peersToPoll returns the peers to query when the store is unavailable: the
// watchers of the other zones or, before the first adoption, every reachable
// member.
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

// queryPeers queries peers concurrently and returns the answers received.
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

// watchLoop watches the head in the store while this entry VM is the watcher of
// its zone, until ctx is done.
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

// handleHeadChange triggers a poll for a commit seen in the store. It first
// waits for the announcement of the commit, which saves reading the revision
// from the store.
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
