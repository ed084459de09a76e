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

// errBadMessage reports a peer message that can't be read.
var errBadMessage = errors.New("config: unreadable message")

// handlePropose answers a proposal for this entry VM and those to forward to.
func (s *Service) handlePropose(ctx context.Context, from model.VMID, body []byte) (any, error) {
	var req proposeRequest
	if err := decode(body, &req); err != nil {
		return nil, errors.Wrap(errBadMessage, err.Error())
	}
	if req.Withdraw {
		s.withdrawn(&req)
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	encoded, err := s.body(ctx, from, &req)
	if err != nil {
		return nil, err
	}
	defer s.dropBody(req.Pieces)
	answers := s.forwardProposal(ctx, &req, func() proposeAnswer { return s.consider(ctx, &req, encoded) })
	return &proposeReply{Answers: answers}, nil
}

// withdrawn closes the acknowledgement of an attempt and passes that on.
func (s *Service) withdrawn(req *proposeRequest) {
	s.mu.Lock()
	s.acks.withdraw(req.attempt())
	s.mu.Unlock()
	onward := *req
	onward.Forward = nil
	for _, vm := range req.Forward {
		_ = s.links.Send(vm, peer.KindConfigPropose, &onward)
	}
}

// forwardProposal runs own and asks the others of the zone, side by side.
func (s *Service) forwardProposal(ctx context.Context, req *proposeRequest, own func() proposeAnswer) []proposeAnswer {
	answers := make([]proposeAnswer, len(req.Forward)+1)
	onward := *req
	onward.Forward = nil
	onward.Timeout = forwardTimeout
	var group sync.WaitGroup
	for i, vm := range req.Forward {
		group.Go(func() { answers[i+1] = s.askOne(ctx, vm, &onward) })
	}
	answers[0] = own()
	group.Wait()
	return answers
}

// askOne asks one entry VM to acknowledge an attempt.
func (s *Service) askOne(ctx context.Context, vm model.VMID, req *proposeRequest) proposeAnswer {
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

// consider decides whether this entry VM acknowledges an attempt.
func (s *Service) consider(ctx context.Context, req *proposeRequest, encoded []byte) proposeAnswer {
	answer := proposeAnswer{VM: s.self}
	base, err := s.baseOf(ctx, req)
	if err != nil {
		answer.Verdict, answer.Reason = verdictRetry, err.Error()
		return answer
	}
	prepared, err := s.prepareFrom(base, req, encoded)
	if err != nil {
		answer.Verdict, answer.Reason = verdictInvalid, err.Error()
		return answer
	}
	if !s.acknowledge(req.attempt(), prepared) {
		answer.Verdict, answer.Reason = verdictRetry, "another change came first, or too many are under way"
		return answer
	}
	answer.Verdict = verdictAck
	return answer
}

// baseOf returns the version in force if it is the base of the attempt,
// catching up from the proposer first when it is lower.
func (s *Service) baseOf(ctx context.Context, req *proposeRequest) (*version, error) {
	if s.installed().revision() < req.Base {
		if err := s.pull(ctx, req.Proposer); err != nil {
			return nil, errors.Wrap(err, "can't catch up")
		}
	}
	base := s.installed()
	if base.revision() != req.Base {
		return nil, errors.Errorf("has revision %d in force, the change is based on %d", base.revision(), req.Base)
	}
	return base, nil
}

func (s *Service) prepareFrom(base *version, req *proposeRequest, encoded []byte) (*version, error) {
	var change Change
	if err := decode(encoded, &change); err != nil {
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

// acknowledge opens an acknowledgement unless the base is no longer in force.
func (s *Service) acknowledge(at attempt, prepared *version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inForce.revision() != at.base {
		return false
	}
	return s.acks.add(at, prepared, s.now())
}

// body returns the encoded change of a proposal, fetching it from the sender
// when it came in pieces, and keeps the pieces for those it is forwarded to.
func (s *Service) body(ctx context.Context, from model.VMID, req *proposeRequest) ([]byte, error) {
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
	s.keepBody(pieces)
	return encoded, nil
}

func (s *Service) keepBody(pieces map[Hash][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.Copy(s.bodies, pieces)
}

func (s *Service) dropBody(pieces []Hash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range pieces {
		delete(s.bodies, h)
	}
}

// handleAnnounce adopts a committed change and passes the news on.
func (s *Service) handleAnnounce(ctx context.Context, from model.VMID, body []byte) (any, error) {
	var news announcement
	if err := decode(body, &news); err != nil {
		return nil, errors.Wrap(errBadMessage, err.Error())
	}
	var commit Commit
	if err := json.Unmarshal(news.Commit, &commit); err != nil {
		return nil, errors.Wrap(errBadMessage, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, news.Timeout)
	defer cancel()
	onward := news
	onward.Forward = nil
	onward.Timeout = forwardTimeout
	var reply announceReply
	if s.learn(ctx, from, commit) {
		reply.Adopted = append(reply.Adopted, s.self)
	}
	reply.Adopted = append(reply.Adopted, s.announceTo(ctx, news.Forward, &onward)...)
	return &reply, nil
}

// learn puts a committed change in force, from what was acknowledged or from
// the sender of the news. It reports whether the change is in force here.
func (s *Service) learn(ctx context.Context, from model.VMID, commit Commit) bool {
	if s.installed().revision() >= commit.Revision {
		return true
	}
	if v, ok := s.preparedFor(commit); ok {
		return s.adopt(v, string(from))
	}
	if err := s.pull(ctx, from); err != nil {
		s.wake()
	}
	return s.installed().revision() >= commit.Revision
}

// announceTo passes news on to single entry VMs, side by side, and returns
// those that have the revision in force.
func (s *Service) announceTo(ctx context.Context, vms []model.VMID, news *announcement) []model.VMID {
	var (
		mu      sync.Mutex
		adopted []model.VMID
		group   sync.WaitGroup
	)
	for _, vm := range vms {
		group.Go(func() {
			got := s.announceOne(ctx, vm, news)
			mu.Lock()
			defer mu.Unlock()
			adopted = append(adopted, got...)
		})
	}
	group.Wait()
	return adopted
}

func (s *Service) announceOne(ctx context.Context, vm model.VMID, news *announcement) []model.VMID {
	ctx, cancel := context.WithTimeout(ctx, news.Timeout)
	defer cancel()
	var reply announceReply
	if err := s.links.Call(ctx, vm, peer.KindConfigAnnounce, news, &reply); err != nil {
		return nil
	}
	return reply.Adopted
}

// handleFetch tells the revision in force here, how fresh it is, and whatever
// else the asker wants.
func (s *Service) handleFetch(_ context.Context, from model.VMID, body []byte) (any, error) {
	var req fetchRequest
	if err := decode(body, &req); err != nil {
		return nil, errors.Wrap(errBadMessage, err.Error())
	}
	s.takeReport(from, &req)
	now := s.now()
	reply := &fetchReply{Stamp: s.stampNow()}
	reply.Revision, reply.Age, reply.Fresh = s.freshAge(now)
	if req.WantAges {
		reply.Zone, reply.Ages = s.zone, s.zoneReport(now)
	}
	if req.WantHead {
		if err := s.addHead(reply); err != nil {
			return nil, err
		}
	}
	reply.Objects = s.objectsAtHand(req.Objects)
	return reply, nil
}

func (s *Service) addHead(reply *fetchReply) error {
	v := s.installed()
	if v == nil {
		return errors.New("no configuration in force here")
	}
	head, err := encodeHead(v.head)
	reply.Head = head
	return err
}

// objectsAtHand returns those of the wanted objects that this entry VM holds.
func (s *Service) objectsAtHand(wanted []Hash) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found [][]byte
	for _, h := range wanted {
		if data := s.bodies[h]; data != nil {
			found = append(found, data)
			continue
		}
		if s.inForce != nil && s.inForce.objects.data[h] != nil {
			found = append(found, s.inForce.objects.data[h])
		}
	}
	return found
}
