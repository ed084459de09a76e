package config

import (
	"context"
	"encoding/json"
	"maps"
	"sync"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"

	"github.com/pkg/errors"
)

// errBadMessage is returned for a peer message that can't be decoded.
var errBadMessage = errors.New("config: unreadable message")

// handlePropose answers a proposal on behalf of this entry VM and of those in
// the request's Forward list.
func (s *Service) handlePropose(ctx context.Context, from model.VMID, body []byte) (any, error) {
	var req proposeRequest
	if err := decodeCBOR(body, &req); err != nil {
		return nil, errors.Wrap(errBadMessage, err.Error())
	}
	if req.Withdraw {
		s.handleWithdraw(&req)
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	encoded, err := s.proposalBody(ctx, from, &req)
	if err != nil {
		return nil, err
	}
	defer s.dropPieces(req.Pieces)
	answers := s.forwardProposal(ctx, &req, func() proposeAnswer { return s.evaluate(ctx, &req, encoded) })
	return &proposeReply{Answers: answers}, nil
}

// handleWithdraw closes the acknowledgement of an attempt and forwards the
// withdrawal.
func (s *Service) handleWithdraw(req *proposeRequest) {
	s.mu.Lock()
	s.acks.withdraw(req.attemptID())
	s.mu.Unlock()
	forwarded := *req
	forwarded.Forward = nil
	for _, vm := range req.Forward {
		_ = s.links.Send(vm, peer.KindConfigPropose, &forwarded)
	}
}

// forwardProposal runs own and asks the entry VMs in the request's Forward list
// concurrently. The first answer is that of own.
func (s *Service) forwardProposal(ctx context.Context, req *proposeRequest, own func() proposeAnswer) []proposeAnswer {
	answers := make([]proposeAnswer, len(req.Forward)+1)
	forwarded := *req
	forwarded.Forward = nil
	forwarded.Timeout = vmTimeout
	var group sync.WaitGroup
	for i, vm := range req.Forward {
		group.Go(func() { answers[i+1] = s.proposeTo(ctx, vm, &forwarded) })
	}
	answers[0] = own()
	group.Wait()
	return answers
}

// proposeTo asks one entry VM to acknowledge an attempt.
func (s *Service) proposeTo(ctx context.Context, vm model.VMID, req *proposeRequest) proposeAnswer {
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	var reply proposeReply
	if err := s.links.Call(ctx, vm, peer.KindConfigPropose, req, &reply); err != nil {
		return proposeAnswer{VM: vm, Verdict: verdictRetry, Reason: reasonUnreachable}
	}
	if len(reply.Answers) == 0 {
		return proposeAnswer{VM: vm, Verdict: verdictRetry, Reason: "gave no answer"}
	}
	return reply.Answers[0]
}

// evaluate decides whether this entry VM acknowledges an attempt.
func (s *Service) evaluate(ctx context.Context, req *proposeRequest, encoded []byte) proposeAnswer {
	answer := proposeAnswer{VM: s.self}
	base, err := s.baseVersion(ctx, req)
	if err != nil {
		answer.Verdict, answer.Reason = verdictRetry, err.Error()
		return answer
	}
	prepared, err := s.prepareProposal(base, req, encoded)
	if err != nil {
		answer.Verdict, answer.Reason = verdictInvalid, err.Error()
		return answer
	}
	if !s.openAck(req.attemptID(), prepared) {
		answer.Verdict, answer.Reason = verdictRetry, "another change came first, or too many are under way"
		return answer
	}
	answer.Verdict = verdictAck
	return answer
}

// baseVersion returns the active version if it is the base of the attempt. If
// the active revision is lower, it first syncs from the proposer.
func (s *Service) baseVersion(ctx context.Context, req *proposeRequest) (*version, error) {
	if s.activeVersion().revision() < req.Base {
		if err := s.syncFromPeer(ctx, req.Proposer); err != nil {
			return nil, errors.Wrap(err, "can't catch up")
		}
	}
	base := s.activeVersion()
	if base.revision() != req.Base {
		return nil, errors.Errorf("has revision %d in force, the change is based on %d", base.revision(), req.Base)
	}
	return base, nil
}

func (s *Service) prepareProposal(base *version, req *proposeRequest, encoded []byte) (*version, error) {
	var change Change
	if err := decodeCBOR(encoded, &change); err != nil {
		return nil, err
	}
	prepared, err := s.rules.prepare(base, change)
	if err != nil {
		return nil, err
	}
	if prepared.objects.digest() != req.Digest {
		return nil, errors.New("the change leads to another document here: run the same release everywhere")
	}
	prepared.snapshot = NewSnapshot(prepared.doc)
	return prepared, nil
}

// openAck opens an acknowledgement. It returns false if the base is no longer
// active or too many acknowledgements are open.
func (s *Service) openAck(id attemptID, prepared *version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active.revision() != id.base {
		return false
	}
	return s.acks.add(id, prepared, s.now())
}

// proposalBody returns the encoded change of a proposal. If the change was sent
// in pieces, it downloads them from the sender and keeps them for the VMs to
// which the proposal is forwarded.
func (s *Service) proposalBody(ctx context.Context, from model.VMID, req *proposeRequest) ([]byte, error) {
	if len(req.Pieces) == 0 {
		return req.Body, nil
	}
	pieces := make(map[Hash][]byte, len(req.Pieces))
	if err := s.fetchByHash(ctx, from, req.Pieces, pieces); err != nil {
		return nil, err
	}
	var encoded []byte
	for _, h := range req.Pieces {
		encoded = append(encoded, pieces[h]...)
	}
	s.storePieces(pieces)
	return encoded, nil
}

func (s *Service) storePieces(pieces map[Hash][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.Copy(s.pieces, pieces)
}

func (s *Service) dropPieces(pieces []Hash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range pieces {
		delete(s.pieces, h)
	}
}

// handleAnnounce adopts a committed change and forwards the announcement.
func (s *Service) handleAnnounce(ctx context.Context, from model.VMID, body []byte) (any, error) {
	var ann announcement
	if err := decodeCBOR(body, &ann); err != nil {
		return nil, errors.Wrap(errBadMessage, err.Error())
	}
	var commit Commit
	if err := json.Unmarshal(ann.Commit, &commit); err != nil {
		return nil, errors.Wrap(errBadMessage, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, ann.Timeout)
	defer cancel()
	forwarded := ann
	forwarded.Forward = nil
	forwarded.Timeout = vmTimeout
	var reply announceReply
	if s.adoptCommit(ctx, from, commit) {
		reply.Adopted = append(reply.Adopted, s.self)
	}
	reply.Adopted = append(reply.Adopted, s.announceToVMs(ctx, ann.Forward, &forwarded)...)
	return &reply, nil
}

// adoptCommit activates a committed change, using the version prepared for its
// acknowledgement or syncing from the sender of the announcement. It reports
// whether the change is active on this entry VM.
func (s *Service) adoptCommit(ctx context.Context, from model.VMID, commit Commit) bool {
	if s.activeVersion().revision() >= commit.Revision {
		return true
	}
	if v, ok := s.preparedVersion(commit); ok {
		return s.adopt(v, string(from))
	}
	if err := s.syncFromPeer(ctx, from); err != nil {
		s.triggerPoll()
	}
	return s.activeVersion().revision() >= commit.Revision
}

// announceToVMs forwards an announcement to individual entry VMs concurrently
// and returns those that have the revision active.
func (s *Service) announceToVMs(ctx context.Context, vms []model.VMID, ann *announcement) []model.VMID {
	var (
		mu      sync.Mutex
		adopted []model.VMID
		group   sync.WaitGroup
	)
	for _, vm := range vms {
		group.Go(func() {
			vmsAdopted := s.announceToVM(ctx, vm, ann)
			mu.Lock()
			defer mu.Unlock()
			adopted = append(adopted, vmsAdopted...)
		})
	}
	group.Wait()
	return adopted
}

func (s *Service) announceToVM(ctx context.Context, vm model.VMID, ann *announcement) []model.VMID {
	ctx, cancel := context.WithTimeout(ctx, ann.Timeout)
	defer cancel()
	var reply announceReply
	if err := s.links.Call(ctx, vm, peer.KindConfigAnnounce, ann, &reply); err != nil {
		return nil
	}
	return reply.Adopted
}

// handleFetch replies with the active revision, how long ago it was known to be
// the latest, and the optional parts that the request asks for.
func (s *Service) handleFetch(_ context.Context, from model.VMID, body []byte) (any, error) {
	var req fetchRequest
	if err := decodeCBOR(body, &req); err != nil {
		return nil, errors.Wrap(errBadMessage, err.Error())
	}
	s.recordPeerState(from, &req)
	now := s.now()
	reply := &fetchReply{Stamp: s.newStamp()}
	reply.Revision, reply.Age, reply.AgeKnown = s.activeAge(now)
	if req.WantAges {
		reply.Zone, reply.Ages = s.zone, s.zoneAges(now)
	}
	if req.WantHead {
		if err := s.addHead(reply); err != nil {
			return nil, err
		}
	}
	reply.Objects = s.localObjects(req.Objects)
	return reply, nil
}

func (s *Service) addHead(reply *fetchReply) error {
	v := s.activeVersion()
	if v == nil {
		return errors.New("no configuration in force here")
	}
	head, err := encodeHead(v.head)
	reply.Head = head
	return err
}

// localObjects returns those of the requested objects that this entry VM has.
func (s *Service) localObjects(hashes []Hash) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found [][]byte
	for _, h := range hashes {
		if data := s.pieces[h]; data != nil {
			found = append(found, data)
			continue
		}
		if s.active != nil && s.active.objects.data[h] != nil {
			found = append(found, s.active.objects.data[h])
		}
	}
	return found
}
