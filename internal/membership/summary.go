package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// smallZone is the largest zone whose summary lists the load of each
	// member.
	smallZone = 4
	// minLoadGap and loadGapPerZone space summaries that only bring new load,
	// so that the bytes a VM receives do not grow with the count of zones.
	minLoadGap     = 500 * time.Millisecond
	loadGapPerZone = 150 * time.Millisecond
	// loadGapPerMember spaces the reports that a leader receives.
	loadGapPerMember = 60 * time.Millisecond
	// minSummaryGap spaces summaries that bring new revisions.
	minSummaryGap = 300 * time.Millisecond
	// materialPercent is the change of a load that is worth a message.
	materialPercent = 10
)

// localState holds this VM's own load and revision, what members reported to
// it as their leader, and the newest summary of each zone.
type localState struct {
	revision   model.Revision
	load       []LoadSum
	reports    map[model.VMID]Report
	summaries  map[model.Zone]Summary
	reported   Report
	reportedTo model.VMID
	// sentAt is when the last report or summary went out.
	sentAt              time.Time
	reachabilityChanged bool
	// summaryReplaced asks for a summary that replaces one of another leader, or of an
	// earlier process of this slot.
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
	l.load = toSums(load)
	slices.SortFunc(l.load, compareLoad)
}

// compareLoad orders loads by service and then by zone.
func compareLoad(a, b LoadSum) int {
	if c := cmp.Compare(a.Service, b.Service); c != 0 {
		return c
	}
	return cmp.Compare(a.Zone, b.Zone)
}

// takeReport keeps what a member of the zone reported.
func (l *localState) takeReport(n *Node, from model.VMID, r Report) {
	known, ok := n.table.get(from)
	if ok && known.Zone == n.self.Zone && known.Incarnation == r.Incarnation {
		l.reports[from] = r
	}
}

// loadGap is the shortest time between two messages that bring only load.
func (n *Node) loadGap() time.Duration {
	return max(minLoadGap, time.Duration(len(n.table.names))*loadGapPerZone)
}

// reportGap is the shortest time between two reports that bring only load.
func (n *Node) reportGap() time.Duration {
	members := len(n.table.present(n.self.Zone))
	return max(n.loadGap(), time.Duration(members)*loadGapPerMember)
}

// tickSummary tells the zone's leader, or as leader the other zones, what has
// changed at this VM or in this zone.
func (n *Node) tickSummary() {
	report := Report{
		Incarnation: n.self.Incarnation,
		Revision:    n.local.revision,
		Load:        n.local.load,
	}
	if n.leads() {
		n.local.reports[n.self.VM] = report
		n.summarise()
		return
	}
	n.reportTo(n.table.leader(n.self.Zone), report)
}

func (n *Node) reportTo(leader model.VMID, report Report) {
	if leader == "" || leader == n.self.VM {
		return
	}
	l := &n.local
	age := n.now.Sub(l.sentAt)
	due := leader != l.reportedTo ||
		report.Revision != l.reported.Revision ||
		age >= n.pace.Refresh ||
		age >= n.reportGap() && material(report.Load, l.reported.Load)
	if !due {
		return
	}
	l.reported = report
	l.reportedTo = leader
	l.sentAt = n.now
	n.do(SendDelta{To: leader, Delta: Delta{Report: &report}})
}

// summarise sends a new summary of the zone when it is worth one.
func (n *Node) summarise() {
	l := &n.local
	old := l.summaries[n.self.Zone]
	s := n.summary(old)
	age := n.now.Sub(l.sentAt)
	due := old.Leader != n.self.VM || l.summaryReplaced || l.reachabilityChanged ||
		!slices.Equal(s.Silent, old.Silent) ||
		age >= n.pace.Refresh ||
		age >= minSummaryGap && !sameRevisions(s, old) ||
		age >= n.loadGap() && materialSummary(s, old)
	if !due {
		return
	}
	l.summaryReplaced = false
	l.reachabilityChanged = false
	l.sentAt = n.now
	s.Seq = old.Seq + 1
	l.summaries[n.self.Zone] = s
	n.views.loadDirty = true
	n.passSummary(s)
}

// summary returns what this zone's next summary says.
func (n *Node) summary(old Summary) Summary {
	members := n.table.present(n.self.Zone)
	s := Summary{
		Zone:        n.self.Zone,
		Leader:      n.self.VM,
		Silent:      slices.Clone(n.zones.silent),
		Unreachable: sortedKeys(n.zones.unreachable),
	}
	s.Revision, s.Exceptions = n.zoneRevisions(members, old)
	sums := map[servicePlace]LoadSum{}
	for _, vm := range members {
		addLoad(sums, n.local.reports[vm].Load)
	}
	s.Load = slices.SortedFunc(maps.Values(sums), compareLoad)
	if len(members) > 1 && len(members) <= smallZone {
		for _, vm := range members {
			s.Members = append(s.Members, MemberLoad{VM: vm, Load: n.local.reports[vm].Load})
		}
	}
	return s
}

// servicePlace is a service in one availability zone.
type servicePlace struct {
	service model.ServiceName
	zone    model.Zone
}

func addLoad(sums map[servicePlace]LoadSum, load []LoadSum) {
	for _, l := range load {
		key := servicePlace{service: l.Service, zone: l.Zone}
		sum := sums[key]
		sum.Service, sum.Zone = l.Service, l.Zone
		sum.Slots += l.Slots
		sum.Busy += l.Busy
		sum.Queued += l.Queued
		sums[key] = sum
	}
}

// zoneRevisions returns the revision that most members have in force, and the
// members with another one.
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

// reportedRevision falls back to an earlier leader's summary.
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

func materialSummary(a, b Summary) bool {
	if material(a.Load, b.Load) || len(a.Members) != len(b.Members) {
		return true
	}
	for i := range a.Members {
		if a.Members[i].VM != b.Members[i].VM || material(a.Members[i].Load, b.Members[i].Load) {
			return true
		}
	}
	return false
}

// material reports whether two loads differ by enough to tell others.
func material(a, b []LoadSum) bool {
	if len(a) != len(b) {
		return true
	}
	for i := range a {
		if compareLoad(a[i], b[i]) != 0 || a[i].Slots != b[i].Slots {
			return true
		}
		if differs(a[i].Busy, b[i].Busy, a[i].Slots) || differs(a[i].Queued, b[i].Queued, a[i].Slots) {
			return true
		}
	}
	return false
}

// differs reports whether two counts differ by a share of scale. The change to
// or from zero always counts.
func differs(a, b, scale int) bool {
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
	return 100*change >= materialPercent*scale
}

// mergeSummary takes in a zone's summary and passes it on.
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
	n.passSummary(s)
	switch {
	case s.Zone == n.self.Zone && n.leads():
		n.local.summaryReplaced = true
	case n.leads():
		n.verifySilent(s.Silent)
	case s.Zone == n.self.Zone:
		n.adoptReachability(s.Unreachable)
	}
}

// correctSummary tells a new leader, which counts its summaries from an older
// one or from none, what its zone's newest summary is.
func (n *Node) correctSummary(s, known Summary) {
	if n.source == s.Leader && (s.Seq < known.Seq || s.Leader != known.Leader) {
		n.do(SendDelta{To: s.Leader, Delta: Delta{Summaries: []Summary{known}}})
	}
}

// newerThan orders summaries also when two VMs lead a zone for a moment.
func (s Summary) newerThan(other Summary) bool {
	if s.Seq != other.Seq {
		return s.Seq > other.Seq
	}
	return s.Leader < other.Leader
}
