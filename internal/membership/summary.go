package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// maxDetailedMembers is the largest zone whose summary lists the load of
	// each member.
	maxDetailedMembers = 4
	// minLoadInterval and loadIntervalPerZone space summaries that only carry
	// new load, so that the traffic a VM receives does not grow with the
	// number of zones.
	minLoadInterval     = 500 * time.Millisecond
	loadIntervalPerZone = 150 * time.Millisecond
	// loadIntervalPerMember spaces the reports of a zone's members, to bound
	// the rate that their leader receives.
	loadIntervalPerMember = 60 * time.Millisecond
	// minRevisionInterval spaces summaries that carry new revisions.
	minRevisionInterval = 300 * time.Millisecond
	// significantChangePercent is the smallest change of a load, in percent of
	// its slots, that is sent.
	significantChangePercent = 10
)

// localState holds this VM's own load and revision, the reports of members to
// this VM as their leader, and the newest summary of each zone.
type localState struct {
	revision   model.Revision
	load       []LoadSum
	reports    map[model.VMID]Report
	summaries  map[model.Zone]Summary
	reported   Report
	reportedTo model.VMID
	// lastSentAt is when the last report or summary was sent.
	lastSentAt          time.Time
	reachabilityChanged bool
	// summaryReplaced requests a new summary that overrides one of another
	// leader or of an earlier process of this slot.
	summaryReplaced bool
}

func newLocalState() localState {
	return localState{
		reports:   map[model.VMID]Report{},
		summaries: map[model.Zone]Summary{},
	}
}

func (l *localState) update(revision model.Revision, load []ServiceLoad) {
	l.revision = max(l.revision, revision)
	l.load = toLoadSums(load)
	slices.SortFunc(l.load, compareLoad)
}

// compareLoad orders loads by service, then by zone.
func compareLoad(a, b LoadSum) int {
	if c := cmp.Compare(a.Service, b.Service); c != 0 {
		return c
	}
	return cmp.Compare(a.Zone, b.Zone)
}

// storeReport stores the report of a member of the zone. Reports of unknown
// processes are ignored.
func (l *localState) storeReport(n *Node, from model.VMID, r Report) {
	known, ok := n.table.get(from)
	if ok && known.Zone == n.self.Zone && known.Incarnation == r.Incarnation {
		l.reports[from] = r
	}
}

// loadInterval returns the minimum time between two summaries that only carry
// load.
func (n *Node) loadInterval() time.Duration {
	return max(minLoadInterval, time.Duration(len(n.table.zoneNames))*loadIntervalPerZone)
}

// reportInterval returns the minimum time between two reports that only carry
// load.
func (n *Node) reportInterval() time.Duration {
	members := len(n.table.present(n.self.Zone))
	return max(n.loadInterval(), time.Duration(members)*loadIntervalPerMember)
}

// tickSummary reports changes at this VM to the zone's leader or, on the
// leader, changes in the zone to the other zones.
func (n *Node) tickSummary() {
	report := Report{
		Incarnation: n.self.Incarnation,
		Revision:    n.local.revision,
		Load:        n.local.load,
	}
	if n.isLeader() {
		n.local.reports[n.self.VM] = report
		n.sendSummaryIfDue()
		return
	}
	n.reportTo(n.table.leader(n.self.Zone), report)
}

func (n *Node) reportTo(leader model.VMID, report Report) {
	if leader == "" || leader == n.self.VM {
		return
	}
	l := &n.local
	age := n.now.Sub(l.lastSentAt)
	due := leader != l.reportedTo ||
		report.Revision != l.reported.Revision ||
		age >= n.intervals.Refresh ||
		age >= n.reportInterval() && significantChange(report.Load, l.reported.Load)
	if !due {
		return
	}
	l.reported = report
	l.reportedTo = leader
	l.lastSentAt = n.now
	n.emit(SendDelta{To: leader, Delta: Delta{Report: &report}})
}

// sendSummaryIfDue sends a new summary of the zone if it differs enough from
// the last one or the last one is old.
func (n *Node) sendSummaryIfDue() {
	l := &n.local
	old := l.summaries[n.self.Zone]
	s := n.summary(old)
	age := n.now.Sub(l.lastSentAt)
	due := old.Leader != n.self.VM || l.summaryReplaced || l.reachabilityChanged ||
		!slices.Equal(s.Silent, old.Silent) ||
		age >= n.intervals.Refresh ||
		age >= minRevisionInterval && !sameRevisions(s, old) ||
		age >= n.loadInterval() && significantSummaryChange(s, old)
	if !due {
		return
	}
	l.summaryReplaced = false
	l.reachabilityChanged = false
	l.lastSentAt = n.now
	s.Seq = old.Seq + 1
	l.summaries[n.self.Zone] = s
	n.views.loadDirty = true
	n.forwardSummary(s)
}

// summary returns this zone's next summary, without its Seq.
func (n *Node) summary(old Summary) Summary {
	members := n.table.present(n.self.Zone)
	s := Summary{
		Zone:        n.self.Zone,
		Leader:      n.self.VM,
		Silent:      slices.Clone(n.zones.silent),
		Unreachable: sortedKeys(n.zones.unreachable),
	}
	s.Revision, s.Exceptions = n.zoneRevisions(members, old)
	sums := map[serviceZone]LoadSum{}
	for _, vm := range members {
		addLoad(sums, n.local.reports[vm].Load)
	}
	s.Load = slices.SortedFunc(maps.Values(sums), compareLoad)
	if len(members) > 1 && len(members) <= maxDetailedMembers {
		for _, vm := range members {
			s.Members = append(s.Members, MemberLoad{VM: vm, Load: n.local.reports[vm].Load})
		}
	}
	return s
}

// serviceZone is a service in one availability zone.
type serviceZone struct {
	service model.ServiceName
	zone    model.Zone
}

func addLoad(sums map[serviceZone]LoadSum, load []LoadSum) {
	for _, l := range load {
		key := serviceZone{service: l.Service, zone: l.Zone}
		sum := sums[key]
		sum.Service, sum.Zone = l.Service, l.Zone
		sum.Slots += l.Slots
		sum.Busy += l.Busy
		sum.Queued += l.Queued
		sums[key] = sum
	}
}

// zoneRevisions returns the most common revision of the members, the higher
// one on a tie, and the members with another revision.
func (n *Node) zoneRevisions(members []model.VMID, old Summary) (model.Revision, []RevisionException) {
	counts := map[model.Revision]int{}
	for _, vm := range members {
		counts[n.reportedRevision(vm, old)]++
	}
	var common model.Revision
	for _, r := range sortedKeys(counts) {
		if counts[r] >= counts[common] {
			common = r
		}
	}
	var exceptions []RevisionException
	for _, vm := range members {
		if r := n.reportedRevision(vm, old); r != common {
			exceptions = append(exceptions, RevisionException{VM: vm, Revision: r})
		}
	}
	return common, exceptions
}

// reportedRevision returns a member's reported revision, or that of an earlier
// leader's summary if there is no report.
func (n *Node) reportedRevision(vm model.VMID, old Summary) model.Revision {
	if r, ok := n.local.reports[vm]; ok {
		return r.Revision
	}
	return old.revisionOf(vm)
}

func (s Summary) revisionOf(vm model.VMID) model.Revision {
	for _, e := range s.Exceptions {
		if e.VM == vm {
			return e.Revision
		}
	}
	return s.Revision
}

func sameRevisions(a, b Summary) bool {
	return a.Revision == b.Revision && slices.Equal(a.Exceptions, b.Exceptions)
}

func significantSummaryChange(a, b Summary) bool {
	if significantChange(a.Load, b.Load) || len(a.Members) != len(b.Members) {
		return true
	}
	for i := range a.Members {
		if a.Members[i].VM != b.Members[i].VM || significantChange(a.Members[i].Load, b.Members[i].Load) {
			return true
		}
	}
	return false
}

// significantChange reports whether two loads differ enough to be sent. Both
// must be sorted by compareLoad.
func significantChange(a, b []LoadSum) bool {
	if len(a) != len(b) {
		return true
	}
	for i := range a {
		if compareLoad(a[i], b[i]) != 0 || a[i].Slots != b[i].Slots {
			return true
		}
		if differsSignificantly(a[i].Busy, b[i].Busy, a[i].Slots) || differsSignificantly(a[i].Queued, b[i].Queued, a[i].Slots) {
			return true
		}
	}
	return false
}

// differsSignificantly reports whether two counts differ by at least
// significantChangePercent of scale. A change to or from zero always counts.
func differsSignificantly(a, b, scale int) bool {
	if a == b {
		return false
	}
	if a == 0 || b == 0 {
		return true
	}
	change := a - b
	if change < 0 {
		change = -change
	}
	return 100*change >= significantChangePercent*scale
}

// mergeSummary applies a zone's summary and forwards it if it is new.
func (n *Node) mergeSummary(s Summary) {
	known, ok := n.local.summaries[s.Zone]
	if s.Zone == "" {
		return
	}
	if ok && !s.newerThan(known) {
		n.correctSummary(s, known)
		return
	}
	n.local.summaries[s.Zone] = s
	n.views.loadDirty = true
	if !sameRevisions(s, known) {
		n.views.dirty = true
	}
	n.forwardSummary(s)
	switch {
	case s.Zone == n.self.Zone && n.isLeader():
		n.local.summaryReplaced = true
	case n.isLeader():
		n.verifySilent(s.Silent)
	case s.Zone == n.self.Zone:
		n.adoptReachability(s.Unreachable)
	}
}

// correctSummary sends the zone's newest summary to a new leader that numbered
// its own from an older one or from none.
func (n *Node) correctSummary(s, known Summary) {
	if n.sender == s.Leader && (s.Seq < known.Seq || s.Leader != known.Leader) {
		n.emit(SendDelta{To: s.Leader, Delta: Delta{Summaries: []Summary{known}}})
	}
}

// newerThan orders summaries by Seq. Ties, which occur while two VMs lead a
// zone, go to the lower leader name.
func (s Summary) newerThan(other Summary) bool {
	if s.Seq != other.Seq {
		return s.Seq > other.Seq
	}
	return s.Leader < other.Leader
}
