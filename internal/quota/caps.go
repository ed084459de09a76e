package quota

import (
	"cmp"
	"maps"
	"slices"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"
)

// lenderID names a lender: it lends the caps of one kind of one region.
type lenderID struct {
	Kind   Kind         `cbor:"1,keyasint"`
	Region model.Region `cbor:"2,keyasint"`
}

// key returns the store's key of the lender's lease.
func (id lenderID) key() string {
	if id.Kind == KindLink {
		return leasePrefix + "links/" + string(id.Region)
	}
	return leasePrefix + "shifts/" + string(id.Region)
}

// deployment is what the service reads from a configuration.
type deployment struct {
	// slots counts all provisioned entry VMs.
	slotCount int
	// caps holds the caps by their lender.
	capsByLender map[lenderID][]Cap
	// regionOf places each zone.
	regionByZone map[model.Zone]model.Region
	// slotsOf holds the entry VMs of each region.
	vmsByRegion map[model.Region][]model.VMID
	// provisioned reports that this VM has a slot.
	provisioned bool
}

// lenders returns all lenders in order.
func (d *deployment) lenders() []lenderID {
	return slices.SortedFunc(maps.Keys(d.capsByLender), func(a, b lenderID) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Region, b.Region))
	})
}

// all returns the caps of every region.
func (d *deployment) allCaps() []Cap {
	var caps []Cap
	for _, c := range d.capsByLender {
		caps = append(caps, c...)
	}
	return caps
}

// readDocument collects the caps of a document as they apply to the VM self.
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

// add files a cap under its lender.
func (d *deployment) addCap(c Cap) {
	id := d.lenderOf(c.Key)
	d.capsByLender[id] = append(d.capsByLender[id], c)
}

// lenderOf returns the lender of a cap: that of the region whose entry VMs
// spend it, or which a shift leaves.
func (d *deployment) lenderOf(key Key) lenderID {
	switch key.Kind {
	case KindLink:
		return lenderID{Kind: KindLink, Region: key.From}
	case KindInbound:
		return lenderID{Kind: KindLink, Region: key.To}
	}
	return lenderID{Kind: KindShift, Region: d.regionByZone[key.Zone]}
}

// hostOf returns the region whose VMs hold a lender's lease in ordinary times.
// Links are lent where they are used. Shifts leave a region when it fails, so
// they are lent by the next region that has entry VMs.
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
	// controlPercent is the part of a link that is left to control messages,
	// heads and other bytes that no transfer accounts for.
	controlPercent = 4
	// inboundPercent is the part of a link that the entry VMs at its far end
	// may cause by reading from processes at its near end.
	inboundPercent = 16
	// outboundPercent is the part that the entry VMs at its near end may send.
	outboundPercent = 100 - controlPercent - inboundPercent
)

// addLinks adds the links' caps. Each link is divided for good between the
// entry VMs at its near end, which send, and those at its far end, which read
// from callers and backend servers at the near end. Either go on when no entry
// VM is left at the other end.
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

// addShifts adds one cap for each account, service and place.
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
