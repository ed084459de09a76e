package membership

import (
	"cmp"
	"slices"
	"time"

	"fuchsiaspar/internal/platform"
)

// writeDelay batches changes of a zone into one write of its record.
const writeDelay = time.Second

// backoff schedules calls to the platform, one at a time, with exponential
// backoff after failures.
type backoff struct {
	pending bool
	due     time.Time
	delay   time.Duration
}

func (r *backoff) ready(now time.Time) bool { return !r.pending && !now.Before(r.due) }

// finish records the end of a call. After a success the next call is due in
// pause. Each failure doubles the delay up to StoreRetryMax; a random half of
// it is jitter.
func (r *backoff) finish(n *Node, failed bool, pause time.Duration) {
	r.pending = false
	if !failed {
		r.delay = 0
		r.due = n.now.Add(pause)
		return
	}
	r.delay = min(max(2*r.delay, n.intervals.StoreRetry), n.intervals.StoreRetryMax)
	r.due = n.now.Add(r.delay/2 + n.jitter(r.delay/2))
}

// leaderState holds the state of a zone leader's calls to the platform.
type leaderState struct {
	// unsettledAt is when this VM last did not lead its zone as an alive member.
	unsettledAt time.Time
	// lease is nonzero while this VM may write the zone's record.
	lease            platform.LeaseID
	leaseUntil       time.Time
	leaseRequestedAt time.Time
	leaseCall        backoff
	recordCall       backoff
	// contactCall reads the records of all zones, listCall the platform's VM
	// list.
	contactCall backoff
	listCall    backoff
	// version and stored are the zone's record in the store. They are valid if
	// known is set.
	known   bool
	version uint64
	stored  []Record
	// changedAt is when the record in the store became out of date, or zero if
	// it is current.
	changedAt time.Time
	writing   []Record
}

func newLeaderState(now time.Time) leaderState { return leaderState{unsettledAt: now} }

func (n *Node) tickLeadership() {
	if !n.joined {
		n.discoverPeers()
	}
	if !n.isLeader() || n.self.State != StateAlive {
		n.leadership.unsettledAt = n.now
		n.releaseLease()
		return
	}
	if n.now.Sub(n.leadership.unsettledAt) < n.intervals.Settle {
		return
	}
	n.maintainLease()
	n.syncZoneRecord()
	n.readVMList()
}

// discoverPeers looks for other VMs in the store and in the VM list.
func (n *Node) discoverPeers() {
	if n.leadership.contactCall.ready(n.now) {
		n.leadership.contactCall.pending = true
		n.emit(ReadZoneRecords{})
	}
	n.readVMList()
}

func (n *Node) readVMList() {
	if n.leadership.listCall.ready(n.now) {
		n.leadership.listCall.pending = true
		n.emit(ReadVMList{})
	}
}

// vmListEnded schedules the next read of the VM list, with a longer pause once
// other VMs are known.
func (d *leaderState) vmListEnded(n *Node, failed bool) {
	pause := n.intervals.VMList + n.jitter(n.intervals.VMList)
	if !n.joined {
		pause = n.intervals.StoreRetryMax
	}
	d.listCall.finish(n, failed, pause)
}

func (n *Node) maintainLease() {
	d := &n.leadership
	if d.lease != 0 && !n.now.Before(d.leaseUntil) {
		n.clearLease()
	}
	if !d.leaseCall.ready(n.now) {
		return
	}
	d.leaseCall.pending = true
	d.leaseRequestedAt = n.now
	if d.lease == 0 {
		n.emit(AcquireLease{Zone: n.self.Zone})
		return
	}
	n.emit(RenewLease{Lease: d.lease})
}

func (n *Node) clearLease() {
	n.leadership.lease = 0
	n.leadership.known = false
}

func (n *Node) releaseLease() {
	if n.leadership.lease == 0 {
		return
	}
	n.emit(ReleaseLease{Lease: n.leadership.lease})
	n.clearLease()
}

func (e LeaseAcquired) apply(n *Node) {
	d := &n.leadership
	d.lease = e.Lease
	d.known = false
	d.leaseUntil = d.leaseRequestedAt.Add(n.intervals.LeaseTTL)
	d.leaseCall.finish(n, false, n.intervals.LeaseRenew)
}

func (e LeaseRenewed) apply(n *Node) {
	d := &n.leadership
	if d.lease != 0 {
		d.leaseUntil = d.leaseRequestedAt.Add(n.intervals.LeaseTTL)
	}
	d.leaseCall.finish(n, false, n.intervals.LeaseRenew)
}

func (e LeaseFailed) apply(n *Node) { n.leadership.leaseCall.finish(n, true, 0) }

func (e LeaseLost) apply(n *Node) {
	n.clearLease()
	n.leadership.leaseCall.finish(n, true, 0)
}

// syncZoneRecord writes the zone's record if its members have changed.
func (n *Node) syncZoneRecord() {
	d := &n.leadership
	if d.lease == 0 || !d.recordCall.ready(n.now) {
		return
	}
	if !d.known {
		d.recordCall.pending = true
		n.emit(ReadZoneRecords{Zone: n.self.Zone})
		return
	}
	want := n.desiredRecord()
	if slices.EqualFunc(want, d.stored, equalStored) {
		d.changedAt = time.Time{}
		return
	}
	if d.changedAt.IsZero() {
		d.changedAt = n.now
	}
	if n.now.Sub(d.changedAt) < writeDelay {
		return
	}
	d.changedAt = time.Time{}
	d.writing = want
	d.recordCall.pending = true
	n.emit(WriteZoneRecord{Zone: n.self.Zone, Members: want, Expect: d.version})
}

// desiredRecord returns the zone's known members and the slots that only the
// stored record contains, sorted by VM.
func (n *Node) desiredRecord() []Record {
	var want []Record
	for _, r := range n.zoneRecords(n.self.Zone) {
		want = append(want, r.stored())
	}
	for _, r := range n.leadership.stored {
		if _, ok := n.table.get(r.VM); !ok {
			want = append(want, r)
		}
	}
	slices.SortFunc(want, func(a, b Record) int { return cmp.Compare(a.VM, b.VM) })
	return want
}

// stored returns r without the fields that change too often to be stored.
func (r Record) stored() Record {
	r.Seq = 0
	r.Age = 0
	if r.State == StateSuspect {
		r.State = StateAlive
	}
	return r
}

func equalStored(a, b Record) bool {
	return a.VM == b.VM && a.identity() == b.identity() &&
		a.State == b.State && a.Address == b.Address &&
		a.Zone == b.Zone && a.Region == b.Region &&
		slices.Equal(a.Previous, b.Previous)
}

func (e ZoneRecordsRead) apply(n *Node) {
	d := &n.leadership
	if e.Zone == "" {
		d.contactCall.finish(n, e.Failed, n.intervals.StoreRetryMax)
	} else {
		d.recordCall.finish(n, e.Failed, 0)
	}
	for _, stored := range e.Records {
		n.mergeStored(stored)
	}
	if !e.Failed && e.Zone == n.self.Zone && d.lease != 0 {
		n.adoptStored(e.Records)
	}
}

// mergeStored takes addresses and replaced processes from a stored record. The
// stored states are not used: a member that was alive when the record was
// written may be dead now.
func (n *Node) mergeStored(z StoredZone) {
	for _, r := range z.Members {
		if !r.valid() {
			continue
		}
		if r.VM == n.self.VM {
			n.mergeOwnStored(r)
			continue
		}
		if r.State.present() {
			n.contacts.add(r.VM, r.Address)
		}
	}
}

func (n *Node) adoptStored(records []StoredZone) {
	d := &n.leadership
	d.known = true
	d.version = 0
	d.stored = nil
	for _, z := range records {
		if z.Zone == n.self.Zone {
			d.version = z.Version
			d.stored = z.Members
		}
	}
}

func (e ZoneRecordWritten) apply(n *Node) {
	d := &n.leadership
	d.recordCall.finish(n, e.Version == 0, 0)
	if e.Version == 0 || d.lease == 0 {
		d.known = false
		return
	}
	d.version = e.Version
	d.stored = d.writing
}
