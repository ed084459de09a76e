package membership

import (
	"cmp"
	"slices"
	"time"

	"fuchsiaspar/internal/platform"
)

// writeDelay gathers changes of a zone into one write of its record.
const writeDelay = time.Second

// retry spaces calls to the platform.
type retry struct {
	pending bool
	due     time.Time
	delay   time.Duration
}

func (r *retry) ready(now time.Time) bool { return !r.pending && !now.Before(r.due) }

// ended notes the end of a call. A failure doubles the delay, of which a
// random half is waited.
func (r *retry) ended(n *Node, failed bool, pause time.Duration) {
	r.pending = false
	if !failed {
		r.delay = 0
		r.due = n.now.Add(pause)
		return
	}
	r.delay = min(max(2*r.delay, n.pace.StoreRetry), n.pace.StoreRetryMax)
	r.due = n.now.Add(r.delay/2 + n.jitter(r.delay/2))
}

// duty holds what a zone's leader does towards the platform.
type duty struct {
	settled time.Time
	// lease is zero unless this VM may write the zone's record.
	lease      platform.LeaseID
	leaseUntil time.Time
	renewing   time.Time
	leaseCall  retry
	recordCall retry
	// contactCall reads all zones' records, listCall the VM list.
	contactCall retry
	listCall    retry
	// version and stored are the zone's record in the store, where known.
	known   bool
	version uint64
	stored  []Record
	// changed is since when the record in the store is out of date.
	changed time.Time
	writing []Record
}

func newDuty(now time.Time) duty { return duty{settled: now} }

func (n *Node) tickDuty() {
	if !n.joined {
		n.firstContact()
	}
	if !n.leads() || n.self.State != StateAlive {
		n.duty.settled = n.now
		n.releaseLease()
		return
	}
	if n.now.Sub(n.duty.settled) < n.pace.Settle {
		return
	}
	n.keepLease()
	n.keepRecord()
	n.readVMList()
}

// firstContact looks for other VMs in the store and in the VM list.
func (n *Node) firstContact() {
	if n.duty.contactCall.ready(n.now) {
		n.duty.contactCall.pending = true
		n.do(ReadZoneRecords{})
	}
	n.readVMList()
}

func (n *Node) readVMList() {
	if n.duty.listCall.ready(n.now) {
		n.duty.listCall.pending = true
		n.do(ReadVMList{})
	}
}

// vmListEnded slows the reads down once other VMs are known.
func (d *duty) vmListEnded(n *Node, failed bool) {
	pause := n.pace.VMList + n.jitter(n.pace.VMList)
	if !n.joined {
		pause = n.pace.StoreRetryMax
	}
	d.listCall.ended(n, failed, pause)
}

func (n *Node) keepLease() {
	d := &n.duty
	if d.lease != 0 && !n.now.Before(d.leaseUntil) {
		n.loseLease()
	}
	if !d.leaseCall.ready(n.now) {
		return
	}
	d.leaseCall.pending = true
	d.renewing = n.now
	if d.lease == 0 {
		n.do(AcquireLease{Zone: n.self.Zone})
		return
	}
	n.do(RenewLease{Lease: d.lease})
}

func (n *Node) loseLease() {
	n.duty.lease = 0
	n.duty.known = false
}

func (n *Node) releaseLease() {
	if n.duty.lease == 0 {
		return
	}
	n.do(ReleaseLease{Lease: n.duty.lease})
	n.loseLease()
}

func (e LeaseAcquired) apply(n *Node) {
	d := &n.duty
	d.lease = e.Lease
	d.known = false
	d.leaseUntil = d.renewing.Add(n.pace.LeaseTTL)
	d.leaseCall.ended(n, false, n.pace.LeaseRenew)
}

func (e LeaseRenewed) apply(n *Node) {
	d := &n.duty
	if d.lease != 0 {
		d.leaseUntil = d.renewing.Add(n.pace.LeaseTTL)
	}
	d.leaseCall.ended(n, false, n.pace.LeaseRenew)
}

func (e LeaseFailed) apply(n *Node) { n.duty.leaseCall.ended(n, true, 0) }

func (e LeaseLost) apply(n *Node) {
	n.loseLease()
	n.duty.leaseCall.ended(n, true, 0)
}

// keepRecord writes the zone's record when its members have changed.
func (n *Node) keepRecord() {
	d := &n.duty
	if d.lease == 0 || !d.recordCall.ready(n.now) {
		return
	}
	if !d.known {
		d.recordCall.pending = true
		n.do(ReadZoneRecords{Zone: n.self.Zone})
		return
	}
	want := n.wantedRecord()
	if slices.EqualFunc(want, d.stored, sameStored) {
		d.changed = time.Time{}
		return
	}
	if d.changed.IsZero() {
		d.changed = n.now
	}
	if n.now.Sub(d.changed) < writeDelay {
		return
	}
	d.changed = time.Time{}
	d.writing = want
	d.recordCall.pending = true
	n.do(WriteZoneRecord{Zone: n.self.Zone, Members: want, Expect: d.version})
}

// wantedRecord joins the known members with slots that only the store knows.
func (n *Node) wantedRecord() []Record {
	var want []Record
	for _, r := range n.zoneRecords(n.self.Zone) {
		want = append(want, r.stored())
	}
	for _, r := range n.duty.stored {
		if _, ok := n.table.get(r.VM); !ok {
			want = append(want, r)
		}
	}
	slices.SortFunc(want, func(a, b Record) int { return cmp.Compare(a.VM, b.VM) })
	return want
}

// stored returns r without what changes too often for the store.
func (r Record) stored() Record {
	r.Seq = 0
	r.Age = 0
	if r.State == StateSuspect {
		r.State = StateAlive
	}
	return r
}

func sameStored(a, b Record) bool {
	return a.VM == b.VM && a.identity() == b.identity() &&
		a.State == b.State && a.Address == b.Address &&
		a.Zone == b.Zone && a.Region == b.Region &&
		slices.Equal(a.Previous, b.Previous)
}

func (e ZoneRecordsRead) apply(n *Node) {
	d := &n.duty
	if e.Zone == "" {
		d.contactCall.ended(n, e.Failed, n.pace.StoreRetryMax)
	} else {
		d.recordCall.ended(n, e.Failed, 0)
	}
	for _, stored := range e.Records {
		n.takeStored(stored)
	}
	if !e.Failed && e.Zone == n.self.Zone && d.lease != 0 {
		n.adoptStored(e.Records)
	}
}

// takeStored learns addresses and replaced processes from a stored record.
// That a member was alive when it was written proves nothing now.
func (n *Node) takeStored(z StoredZone) {
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
	d := &n.duty
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
	d := &n.duty
	d.recordCall.ended(n, e.Version == 0, 0)
	if e.Version == 0 || d.lease == 0 {
		d.known = false
		return
	}
	d.version = e.Version
	d.stored = d.writing
}
