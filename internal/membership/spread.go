package membership

import (
	"slices"
	"time"

	"fuchsiaspar/internal/model"
)

// spreader passes on what this VM has learned. Records go along the fingers of
// the zone's ring at once; summaries go down a tree with the next tick.
// Differing digests show what was lost on the way.
type spreader struct {
	learned   []model.VMID
	summaries map[model.VMID][]model.Zone
	// urgent sends the queued summaries with this step.
	urgent bool
	// differs is since when a VM's digest is another than this VM's.
	differs  map[model.VMID]time.Time
	nextSync time.Time
}

func newSpreader() spreader {
	return spreader{
		summaries: map[model.VMID][]model.Zone{},
		differs:   map[model.VMID]time.Time{},
	}
}

// queue marks the record of vm to be passed on at the end of this step.
func (s *spreader) queue(vm model.VMID) {
	if !slices.Contains(s.learned, vm) {
		s.learned = append(s.learned, vm)
	}
}

// flood passes the records learned in this step on.
func (n *Node) flood() {
	if len(n.spread.learned) == 0 {
		return
	}
	var records []Record
	for _, vm := range n.spread.learned {
		r, _ := n.table.get(vm)
		records = append(records, r)
	}
	n.spread.learned = nil
	for _, to := range n.floodTargets() {
		if to != n.source {
			n.sendRecords(to, records, false)
		}
	}
}

func (n *Node) floodTargets() []model.VMID {
	targets := ringFingers(n.table.present(n.self.Zone), n.self.VM)
	if !n.leads() {
		return targets
	}
	for _, zone := range ringFingers(n.zoneRing(), n.self.Zone) {
		targets = append(targets, n.table.leader(zone))
	}
	return targets
}

// sendRecords sends records in messages of bounded size.
func (n *Node) sendRecords(to model.VMID, records []Record, bulk bool) {
	told := make([]Record, 0, len(records))
	for _, r := range records {
		told = append(told, r.sent(n.now))
	}
	for chunk := range slices.Chunk(told, maxRecordsPerDelta) {
		n.do(SendDelta{To: to, Delta: Delta{Records: chunk, Bulk: bulk}})
	}
}

func (e DeltaReceived) apply(n *Node) {
	n.source = e.From
	sender, known := n.table.get(e.From)
	trusted := !known || sender.State.present()
	for _, r := range e.Delta.Records {
		n.merge(r, trusted, e.Delta.Bulk)
		if r.VM == e.From {
			n.hearRecord(r)
		}
	}
	for _, s := range e.Delta.Summaries {
		n.mergeSummary(s)
	}
	if e.Delta.Report != nil {
		n.local.takeReport(n, e.From, *e.Delta.Report)
	}
	if len(e.Delta.Digests) > 0 {
		n.answerDigests(e.From, e.Delta.Digests, e.Delta.Exchange)
	}
}

// hearRecord counts a process's own record as proof that it runs.
func (n *Node) hearRecord(r Record) {
	if known, ok := n.table.get(r.VM); ok && known.identity() == r.identity() {
		n.hear(known)
	}
}

// compareDigest starts an exchange with a VM whose table has differed for a
// while. Shorter differences are records on their way.
func (n *Node) compareDigest(from model.VMID, digest uint32) {
	if digest == n.table.digest {
		delete(n.spread.differs, from)
		return
	}
	since, ok := n.spread.differs[from]
	if !ok {
		n.spread.differs[from] = n.now
		return
	}
	if n.now.Sub(since) < n.pace.Sync || n.now.Before(n.spread.nextSync) {
		return
	}
	n.spread.nextSync = n.now.Add(n.pace.Sync + n.jitter(n.pace.Sync))
	delete(n.spread.differs, from)
	n.do(SendDelta{To: n.syncPartner(from), Delta: Delta{Digests: n.digests(), Exchange: true}})
}

// syncPartner is the VM whose digest differs, or by chance another member of
// the zone: exchanges between neighbours alone cross a large zone slowly.
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
	for _, zone := range n.table.names {
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
	theirs := make(map[model.Zone]ZoneDigest, len(digests))
	for _, d := range digests {
		theirs[d.Zone] = d
	}
	var summaries []Summary
	for _, zone := range n.table.names {
		if theirs[zone].Digest != n.table.zones[zone].digest {
			n.sendRecords(to, n.zoneRecords(zone), true)
		}
		if s, ok := n.local.summaries[zone]; ok && s.Seq > theirs[zone].Summary {
			summaries = append(summaries, s)
		}
	}
	answer := Delta{Summaries: summaries, Bulk: true}
	if exchange {
		answer.Digests = n.digests()
	}
	if exchange || len(summaries) > 0 {
		n.do(SendDelta{To: to, Delta: answer})
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

// passSummary queues a zone's newest summary for the children of this VM in
// the trees that spread it.
func (n *Node) passSummary(s Summary) {
	inZoneRoot := n.table.leader(n.self.Zone)
	if s.Zone == n.self.Zone {
		inZoneRoot = s.Leader
	}
	for _, vm := range treeChildren(n.table.present(n.self.Zone), inZoneRoot, n.self.VM) {
		n.spread.queueSummary(vm, s.Zone)
	}
	if !n.leads() {
		return
	}
	for _, zone := range treeChildren(n.zoneRing(), s.Zone, n.self.Zone) {
		n.spread.queueSummary(n.table.leader(zone), s.Zone)
	}
}

func (s *spreader) queueSummary(to model.VMID, zone model.Zone) {
	if !slices.Contains(s.summaries[to], zone) {
		s.summaries[to] = append(s.summaries[to], zone)
	}
}

// flushSummaries sends the queued summaries, one message to each VM.
func (s *spreader) flushSummaries(n *Node) {
	for _, to := range sortedKeys(s.summaries) {
		var batch []Summary
		for _, zone := range s.summaries[to] {
			batch = append(batch, n.local.summaries[zone])
		}
		n.do(SendDelta{To: to, Delta: Delta{Summaries: batch}})
	}
	clear(s.summaries)
	s.urgent = false
}
