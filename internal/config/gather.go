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

// gather asks everyone who must acknowledge, one entry VM a zone, this one
// included.
func (s *Service) gather(ctx context.Context, p *proposal) ([]proposeAnswer, error) {
	req, err := s.proposeRequest(p)
	if err != nil {
		return nil, err
	}
	defer s.dropBody(req.Pieces)
	if !s.acknowledge(p.attempt(), p.next) {
		return nil, errHeadMoved
	}
	view := s.view()
	answers := make([][]proposeAnswer, len(p.plan.required))
	var group sync.WaitGroup
	for i, zone := range p.plan.required {
		group.Go(func() { answers[i] = s.gatherZone(ctx, view, zone, req) })
	}
	group.Wait()
	return slices.Concat(answers...), nil
}

func (s *Service) proposeRequest(p *proposal) (*proposeRequest, error) {
	encoded, err := encoding.Marshal(p.change)
	if err != nil {
		return nil, errors.Wrap(err, "encode change")
	}
	req := &proposeRequest{
		Change:   p.change.ID,
		Base:     p.base.revision(),
		Digest:   p.next.objects.digest(),
		Proposer: s.self,
		Timeout:  gatherTimeout,
	}
	if len(encoded) <= pieceBytes {
		req.Body = encoded
		return req, nil
	}
	pieces := make(map[Hash][]byte)
	for piece := range slices.Chunk(encoded, pieceBytes) {
		h := hashOf(piece)
		pieces[h] = piece
		req.Pieces = append(req.Pieces, h)
	}
	s.keepBody(pieces)
	return req, nil
}

// gatherZone asks one entry VM of a zone to gather the zone's answers. One
// that does not reply is noted and the next is asked.
func (s *Service) gatherZone(ctx context.Context, view *membership.View, zone zoneGroup, req *proposeRequest) []proposeAnswer {
	if zone.zone == s.zone {
		return s.gatherOwnZone(ctx, zone, req)
	}
	var answers []proposeAnswer
	left := watcherFirst(view, zone)
	for len(left) > 0 {
		onward := *req
		onward.Forward = left[1:]
		got, err := s.askGatherer(ctx, left[0], &onward)
		if err == nil {
			return append(answers, complete(left, got)...)
		}
		answers = append(answers, proposeAnswer{VM: left[0], Verdict: verdictRetry, Reason: reasonUnreachable})
		left = left[1:]
	}
	return answers
}

func (s *Service) askGatherer(ctx context.Context, vm model.VMID, req *proposeRequest) ([]proposeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	var reply proposeReply
	err := s.links.Call(ctx, vm, peer.KindConfigPropose, req, &reply)
	return reply.Answers, err
}

// gatherOwnZone asks the others of this entry VM's zone; its own
// acknowledgement is already open.
func (s *Service) gatherOwnZone(ctx context.Context, zone zoneGroup, req *proposeRequest) []proposeAnswer {
	onward := *req
	onward.Forward = without(zone.vms, s.self)
	own := func() proposeAnswer { return proposeAnswer{VM: s.self, Verdict: verdictAck} }
	return s.forwardProposal(ctx, &onward, own)
}

func watcherFirst(view *membership.View, zone zoneGroup) []model.VMID {
	watcher, ok := watcherOf(view, zone.zone)
	if !ok || !slices.Contains(zone.vms, watcher) {
		return zone.vms
	}
	return append([]model.VMID{watcher}, without(zone.vms, watcher)...)
}

func without(vms []model.VMID, gone model.VMID) []model.VMID {
	return slices.DeleteFunc(slices.Clone(vms), func(vm model.VMID) bool { return vm == gone })
}

// complete returns one answer for each entry VM that was to answer.
func complete(asked []model.VMID, got []proposeAnswer) []proposeAnswer {
	out := make([]proposeAnswer, 0, len(asked))
	for _, vm := range asked {
		i := slices.IndexFunc(got, func(a proposeAnswer) bool { return a.VM == vm })
		if i < 0 {
			out = append(out, proposeAnswer{VM: vm, Verdict: verdictRetry, Reason: "gave no answer"})
			continue
		}
		out = append(out, got[i])
	}
	return out
}
