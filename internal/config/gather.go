package config

import (
	"context"
	"slices"
	"sync"

	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"

	"github.com/pkg/errors"
)

// collectAcks asks every entry VM that must acknowledge the attempt, through
// one VM per zone. It opens this VM's own acknowledgement first.
func (s *Service) collectAcks(ctx context.Context, p *proposal) ([]proposeAnswer, error) {
	req, err := s.proposeRequest(p)
	if err != nil {
		return nil, err
	}
	defer s.dropPieces(req.Pieces)
	if !s.openAck(p.attemptID(), p.next) {
		return nil, errTooManyAcks
	}
	view := s.view()
	answers := make([][]proposeAnswer, len(p.plan.required))
	var group sync.WaitGroup
	for i, zone := range p.plan.required {
		group.Go(func() { answers[i] = s.collectZoneAcks(ctx, view, zone, req) })
	}
	group.Wait()
	return slices.Concat(answers...), nil
}

func (s *Service) proposeRequest(p *proposal) (*proposeRequest, error) {
	encoded, err := cborEnc.Marshal(p.change)
	if err != nil {
		return nil, errors.Wrap(err, "encode change")
	}
	req := &proposeRequest{
		Change:   p.change.ID,
		Base:     p.base.revision(),
		Digest:   p.next.objects.digest(),
		Proposer: s.self,
		Timeout:  zoneTimeout,
	}
	if len(encoded) <= maxPieceBytes {
		req.Body = encoded
		return req, nil
	}
	pieces := make(map[Hash][]byte)
	for piece := range slices.Chunk(encoded, maxPieceBytes) {
		h := hashOf(piece)
		pieces[h] = piece
		req.Pieces = append(req.Pieces, h)
	}
	s.storePieces(pieces)
	return req, nil
}

// collectZoneAcks asks one entry VM of a zone to collect the zone's answers. If
// it does not reply, it is recorded as unreachable and the next VM is asked.
func (s *Service) collectZoneAcks(ctx context.Context, view *membership.View, zone zoneGroup, req *proposeRequest) []proposeAnswer {
	if zone.zone == s.zone {
		return s.collectOwnZoneAcks(ctx, zone, req)
	}
	var answers []proposeAnswer
	remaining := watcherFirst(view, zone)
	for len(remaining) > 0 {
		forwarded := *req
		forwarded.Forward = remaining[1:]
		replies, err := s.askZoneCoordinator(ctx, remaining[0], &forwarded)
		if err == nil {
			return append(answers, fillMissing(remaining, replies)...)
		}
		answers = append(answers, proposeAnswer{VM: remaining[0], Verdict: verdictRetry, Reason: reasonUnreachable})
		remaining = remaining[1:]
	}
	return answers
}

func (s *Service) askZoneCoordinator(ctx context.Context, vm model.VMID, req *proposeRequest) ([]proposeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, zoneTimeout)
	defer cancel()
	var reply proposeReply
	err := s.links.Call(ctx, vm, peer.KindConfigPropose, req, &reply)
	return reply.Answers, err
}

// collectOwnZoneAcks asks the other entry VMs of this VM's zone. Its own
// acknowledgement is already open.
func (s *Service) collectOwnZoneAcks(ctx context.Context, zone zoneGroup, req *proposeRequest) []proposeAnswer {
	forwarded := *req
	forwarded.Forward = without(zone.vms, s.self)
	own := func() proposeAnswer { return proposeAnswer{VM: s.self, Verdict: verdictAck} }
	return s.forwardProposal(ctx, &forwarded, own)
}

func watcherFirst(view *membership.View, zone zoneGroup) []model.VMID {
	watcher, ok := zoneWatcher(view, zone.zone)
	if !ok || !slices.Contains(zone.vms, watcher) {
		return zone.vms
	}
	return append([]model.VMID{watcher}, without(zone.vms, watcher)...)
}

func without(vms []model.VMID, excluded model.VMID) []model.VMID {
	return slices.DeleteFunc(slices.Clone(vms), func(vm model.VMID) bool { return vm == excluded })
}

// fillMissing returns one answer per expected entry VM, substituting a
// temporary refusal for missing ones.
func fillMissing(expected []model.VMID, received []proposeAnswer) []proposeAnswer {
	out := make([]proposeAnswer, 0, len(expected))
	for _, vm := range expected {
		i := slices.IndexFunc(received, func(a proposeAnswer) bool { return a.VM == vm })
		if i < 0 {
			out = append(out, proposeAnswer{VM: vm, Verdict: verdictRetry, Reason: "gave no answer"})
			continue
		}
		out = append(out, received[i])
	}
	return out
}
