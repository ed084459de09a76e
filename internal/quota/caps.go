package quota

import (
	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"
)

// deployment is what the service reads from a configuration.
type deployment struct {
	// slots counts all provisioned entry VMs.
	slots int
	// caps holds the caps by the region that lends them.
	caps map[model.Region][]Cap
	// regionOf places each zone.
	regionOf map[model.Zone]model.Region
	// slotsOf holds the entry VMs of each region.
	slotsOf map[model.Region][]model.VMID
	// provisioned reports that this VM has a slot.
	provisioned bool
}

// all returns the caps of every region.
func (d *deployment) all() []Cap {
	var caps []Cap
	for _, c := range d.caps {
		caps = append(caps, c...)
	}
	return caps
}

// readDocument collects the caps of a document as they apply to the VM self.
func readDocument(doc *config.Document, self model.VMID) *deployment {
	regions := make(map[model.Zone]model.Region, len(doc.Zones))
	d := &deployment{
		slots:    len(doc.Slots),
		caps:     make(map[model.Region][]Cap),
		regionOf: regions,
		slotsOf:  make(map[model.Region][]model.VMID),
	}
	for _, z := range doc.Zones {
		regions[z.Name] = z.Region
		d.caps[z.Region] = nil
	}
	home := model.Region("")
	for _, s := range doc.Slots {
		region := regions[s.Zone]
		d.slotsOf[region] = append(d.slotsOf[region], s.VM)
		if s.VM == self {
			home = region
			d.provisioned = true
		}
	}
	d.addLinks(doc, home)
	d.addShifts(doc)
	return d
}

// addLinks adds the links' caps. Their floors belong to the slots of the
// region that a link leaves, since its entry VMs send on it.
func (d *deployment) addLinks(doc *config.Document, home model.Region) {
	for _, l := range doc.Links {
		if l.From == l.To {
			continue
		}
		d.caps[l.From] = append(d.caps[l.From], Cap{
			Key:       LinkKey(l.From, l.To),
			PerSecond: l.BytesPerSecond,
			Slots:     len(d.slotsOf[l.From]),
			NoFloor:   !d.provisioned || l.From != home,
		})
	}
}

// addShifts adds one cap for each account, service and place.
func (d *deployment) addShifts(doc *config.Document) {
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
			perSecond := shiftCap(s, template)
			for _, zone := range template.Places {
				region := d.regionOf[zone]
				d.caps[region] = append(d.caps[region], Cap{
					Key:       ShiftKey(account.ID, template.Service, zone),
					PerSecond: perSecond,
					NoFloor:   !d.provisioned,
				})
			}
		}
	}
}

func shiftCap(s config.AccountService, t *config.Template) int64 {
	if s.ShiftCap != nil {
		return *s.ShiftCap
	}
	return t.ShiftCap.Default
}
