package membership

import (
	"slices"
	"time"

	"fuchsiaspar/internal/model"
)

// disseminator forwards what this VM has learned. Records are flooded at once
// to exponentially spaced members of the zone's ring; summaries go down a tree
// on the next tick. Differing digests reveal losses.
type disseminator struct {
	pendingRecords   []model.VMID
	pendingSummaries map[model.VMID][]model.Zone
	// flushNow sends the queued summaries at the end of this step instead of
	// on the next tick.
	flushNow bool
	// differsSince is when a VM's digest was first seen to differ from this
	// VM's.
	differsSince map[model.VMID]time.Time
	nextSync     time.Time
}

func newDisseminator() disseminator {
	return disseminator{
		pendingSummaries: map[model.VMID][]model.Zone{},
		differsSince:     map[model.VMID]time.Time{},
	}
}

// queue schedules the record of vm to be forwarded at the end of this step.
func (s *disseminator) queue(vm model.VMID) {
	if !slices.Contains(s.pendingRecords, vm) {
		s.pendingRecords = append(s.pendingRecords, vm)
	}
}

// flood forwards the records learned in this step.
func (n *Node) flood() {
	if len(n.dissemination.pendingRecords) == 0 {
		return
	}
	var records []Record
	for _, vm := range n.dissemination.pendingRecords {
		r, _ := n.table.get(vm)
		records = append(records, r)
	}
	n.dissemination.pendingRecords = nil
	for _, to := range n.floodTargets() {
		if to != n.sender {
			n.sendRecords(to, records, false)
		}
	}
}

func (n *Node) floodTargets() []model.VMID {
	targets := ringFingers(n.table.present(n.self.Zone), n.self.VM)
	if !n.isLeader() {
		return targets
	}
	for _, zone := range ringFingers(n.zoneRing(), n.self.Zone) {
		targets = append(targets, n.table.leader(zone))
	}
	return targets
}

// sendRecords sends records in messages of at most maxRecordsPerDelta.
func (n *Node) sendRecords(to model.VMID, records []Record, bulk bool) {
	outgoing := make([]Record, 0, len(records))
	for _, r := range records {
		outgoing = append(outgoing, r.toWire(n.now))
	}
	for chunk := range slices.Chunk(outgoing, maxRecordsPerDelta) {
		n.emit(SendDelta{To: to, Delta: Delta{Records: chunk, Bulk: bulk}})
	}
}

func (e DeltaReceived) apply(n *Node) {
	n.sender = e.From
	sender, known := n.table.get(e.From)
	trusted := !known || sender.State.present()
	for _, r := range e.Delta.Records {
		n.merge(r, trusted, e.Delta.Bulk)
		if r.VM == e.From {
			n.markSenderHeard(r)
		}
	}
	for _, s := range e.Delta.Summaries {
		n.mergeSummary(s)
	}
	if e.Delta.Report != nil {
		n.local.storeReport(n, e.From, *e.Delta.Report)
	}
	if len(e.Delta.Digests) > 0 {
		n.answerDigests(e.From, e.Delta.Digests, e.Delta.Exchange)
	}
}

// markSenderHeard treats a process's own record as proof that it is running.
func (n *Node) markSenderHeard(r Record) {
	if known, ok := n.table.get(r.VM); ok && known.identity() == r.identity() {
		n.markHeard(known)
	}
}

// compareDigest starts an exchange with a VM whose digest has differed for
// Sync. Shorter differences are records in transit.
func (n *Node) compareDigest(from model.VMID, digest uint32) {
	if digest == n.table.digest {
		delete(n.dissemination.differsSince, from)
		return
	}
	since, ok := n.dissemination.differsSince[from]
	if !ok {
		n.dissemination.differsSince[from] = n.now
		return
	}
	if n.now.Sub(since) < n.intervals.Sync || n.now.Before(n.dissemination.nextSync) {
		return
	}
	n.dissemination.nextSync = n.now.Add(n.intervals.Sync + n.jitter(n.intervals.Sync))
	delete(n.dissemination.differsSince, from)
	n.emit(SendDelta{To: n.syncPartner(from), Delta: Delta{Digests: n.digests(), Exchange: true}})
}

// syncPartner returns from, or at random another member of the zone, because
// exchanges between neighbours alone converge slowly in a large zone.
func (n *Node) syncPartner(from model.VMID) model.VMID {
	ring := n.table.present(n.self.Zone)
	vm := ring[n.rng.Intn(len(ring))]
	if vm == n.self.VM || n.rng.Intn(2) == 0 {
		return from
	}
	return vm
}

func (n *Node) digests() []ZoneDigest {
	var digests []ZoneDigest
	for _, zone := range n.table.zoneNames {
		digests = append(digests, ZoneDigest{
			Zone:    zone,
			Digest:  n.table.zones[zone].digest,
			Summary: n.local.summaries[zone].Seq,
		})
	}
	return digests
}

// answerDigests sends the records and summaries that the other VM lacks.
func (n *Node) answerDigests(to model.VMID, digests []ZoneDigest, exchange bool) {
	remote := make(map[model.Zone]ZoneDigest, len(digests))
	for _, d := range digests {
		remote[d.Zone] = d
	}
	var summaries []Summary
	for _, zone := range n.table.zoneNames {
		if remote[zone].Digest != n.table.zones[zone].digest {
			n.sendRecords(to, n.zoneRecords(zone), true)
		}
		if s, ok := n.local.summaries[zone]; ok && s.Seq > remote[zone].Summary {
			summaries = append(summaries, s)
		}
	}
	answer := Delta{Summaries: summaries, Bulk: true}
	if exchange {
		answer.Digests = n.digests()
	}
	if exchange || len(summaries) > 0 {
		n.emit(SendDelta{To: to, Delta: answer})
	}
}

func (n *Node) zoneRecords(zone model.Zone) []Record {
	var records []Record
	for _, vm := range n.table.zones[zone].all {
		r, _ := n.table.get(vm)
		records = append(records, r)
	}
	return records
}

// forwardSummary queues a zone's newest summary for the children of this VM in
// the dissemination trees.
func (n *Node) forwardSummary(s Summary) {
	root := n.table.leader(n.self.Zone)
	if s.Zone == n.self.Zone {
		root = s.Leader
	}
	for _, vm := range treeChildren(n.table.present(n.self.Zone), root, n.self.VM) {
		n.dissemination.queueSummary(vm, s.Zone)
	}
	if !n.isLeader() {
		return
	}
	for _, zone := range treeChildren(n.zoneRing(), s.Zone, n.self.Zone) {
		n.dissemination.queueSummary(n.table.leader(zone), s.Zone)
	}
}

func (s *disseminator) queueSummary(to model.VMID, zone model.Zone) {
	if !slices.Contains(s.pendingSummaries[to], zone) {
		s.pendingSummaries[to] = append(s.pendingSummaries[to], zone)
	}
}

// flushSummaries sends the queued summaries, one message per VM.
func (s *disseminator) flushSummaries(n *Node) {
	for _, to := range sortedKeys(s.pendingSummaries) {
		var batch []Summary
		for _, zone := range s.pendingSummaries[to] {
			batch = append(batch, n.local.summaries[zone])
		}
		n.emit(SendDelta{To: to, Delta: Delta{Summaries: batch}})
	}
	clear(s.pendingSummaries)
	s.flushNow = false
}
