package quota

import (
	"cmp"
	"maps"
	"slices"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"
)

// lenderID identifies a lender. With KindLink it lends the link caps that the
// entry VMs of Region use, with KindShift the caps on shifts away from the
// availability zones of Region.
type lenderID struct {
	Kind   Kind         `cbor:"1,keyasint"`
	Region model.Region `cbor:"2,keyasint"`
}

// key returns the store key of the lender's lease.
func (id lenderID) key() string {
	if id.Kind == KindLink {
		return leasePrefix + "links/" + string(id.Region)
	}
	return leasePrefix + "shifts/" + string(id.Region)
}

// deployment has the parts of a configuration that the service uses.
type deployment struct {
	// slotCount is the number of provisioned entry VMs.
	slotCount int
	// capsByLender has an entry for each lender, possibly without caps.
	capsByLender map[lenderID][]Cap
	regionByZone map[model.Zone]model.Region
	// vmsByRegion has the provisioned entry VMs of each region.
	vmsByRegion map[model.Region][]model.VMID
	// provisioned is set if this VM has a slot.
	provisioned bool
}

// lenders returns all lenders, sorted.
func (d *deployment) lenders() []lenderID {
	return slices.SortedFunc(maps.Keys(d.capsByLender), func(a, b lenderID) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Region, b.Region))
	})
}

// allCaps returns the caps of all lenders.
func (d *deployment) allCaps() []Cap {
	var caps []Cap
	for _, c := range d.capsByLender {
		caps = append(caps, c...)
	}
	return caps
}

// newDeployment returns the caps of a configuration as they apply to the VM
// self.
func newDeployment(doc *config.Document, self model.VMID) *deployment {
	regions := make(map[model.Zone]model.Region, len(doc.Zones))
	d := &deployment{
		slotCount:    len(doc.Slots),
		capsByLender: make(map[lenderID][]Cap),
		regionByZone: regions,
		vmsByRegion:  make(map[model.Region][]model.VMID),
	}
	for _, z := range doc.Zones {
		regions[z.Name] = z.Region
		d.capsByLender[lenderID{KindLink, z.Region}] = nil
		d.capsByLender[lenderID{KindShift, z.Region}] = nil
	}
	selfRegion := model.Region("")
	for _, s := range doc.Slots {
		region := regions[s.Zone]
		d.vmsByRegion[region] = append(d.vmsByRegion[region], s.VM)
		if s.VM == self {
			selfRegion = region
			d.provisioned = true
		}
	}
	d.addLinkCaps(doc, selfRegion)
	d.addShiftCaps(doc)
	return d
}

// addCap adds a cap to its lender.
func (d *deployment) addCap(c Cap) {
	id := d.lenderOf(c.Key)
	d.capsByLender[id] = append(d.capsByLender[id], c)
}

// lenderOf returns the lender of a cap. A link is lent by the region whose entry
// VMs use it, a shift by the lender of the region that it leaves.
func (d *deployment) lenderOf(key Key) lenderID {
	switch key.Kind {
	case KindLink:
		return lenderID{Kind: KindLink, Region: key.From}
	case KindInbound:
		return lenderID{Kind: KindLink, Region: key.To}
	}
	return lenderID{Kind: KindShift, Region: d.regionByZone[key.Zone]}
}

// hostRegion returns the region whose VMs normally hold the lender's lease. Links
// are lent in the region that uses them. Shifts away from a region are needed
// most when it fails, so they are lent by the next region, in order of name,
// that has entry VMs.
func (d *deployment) hostRegion(id lenderID) model.Region {
	if id.Kind == KindLink {
		return id.Region
	}
	regions := slices.Sorted(maps.Keys(d.vmsByRegion))
	for _, r := range regions {
		if r > id.Region {
			return r
		}
	}
	for _, r := range regions {
		if r != id.Region {
			return r
		}
	}
	return id.Region
}

const (
	// controlPercent is the part of a link reserved for control messages,
	// message headers and other bytes that no cap accounts for.
	controlPercent = 4
	// inboundPercent is the part of a link for bytes that the entry VMs of the
	// receiving region read from clients and backend servers of the sending one.
	inboundPercent = 16
	// outboundPercent is the part that the entry VMs of the sending region may
	// send.
	outboundPercent = 100 - controlPercent - inboundPercent
)

// addLinkCaps adds two caps for each link between different regions: one for the
// entry VMs of the sending region and one for those of the receiving region,
// which read from clients and backend servers of the sending one. The split is
// fixed, so that either side works while the other has no entry VMs left.
func (d *deployment) addLinkCaps(doc *config.Document, selfRegion model.Region) {
	for _, l := range doc.Links {
		if l.From == l.To {
			continue
		}
		d.addCap(Cap{
			Key:       LinkKey(l.From, l.To),
			PerSecond: percentOf(l.BytesPerSecond, outboundPercent),
			Slots:     len(d.vmsByRegion[l.From]),
			NoFloor:   !d.provisioned || l.From != selfRegion,
		})
		d.addCap(Cap{
			Key:       InboundKey(l.From, l.To),
			PerSecond: percentOf(l.BytesPerSecond, inboundPercent),
			Slots:     len(d.vmsByRegion[l.To]),
			NoFloor:   !d.provisioned || l.To != selfRegion,
		})
	}
}

func percentOf(n, share int64) int64 { return n/100*share + n%100*share/100 }

// addShiftCaps adds one cap for each client account, service and availability
// zone.
func (d *deployment) addShiftCaps(doc *config.Document) {
	templates := make(map[string]*config.Template, len(doc.Templates))
	for i := range doc.Templates {
		templates[doc.Templates[i].Name] = &doc.Templates[i]
	}
	for _, account := range doc.Accounts {
		for _, s := range account.Services {
			template, ok := templates[s.Template]
			if !ok {
				continue
			}
			perSecond := shiftCapFor(s, template)
			for _, zone := range template.Places {
				d.addCap(Cap{
					Key:       ShiftKey(account.ID, template.Service, zone),
					PerSecond: perSecond,
					NoFloor:   !d.provisioned,
				})
			}
		}
	}
}

func shiftCapFor(s config.AccountService, t *config.Template) int64 {
	if s.ShiftCap != nil {
		return *s.ShiftCap
	}
	return t.ShiftCap.Default
}
