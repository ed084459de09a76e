package config

import (
	"fmt"

	"fuchsiaspar/internal/model"
)

func (v *validator) checkDrains() {
	seen := make(map[string]bool)
	for i, d := range v.doc.Drains {
		v.checkName(d.ID, "drains[%d].id", i)
		checkUnique(&v.checker, seen, d.ID, "drains[%d].id", i)
		path := fmt.Sprintf("drains[%s]", d.ID)
		v.checkDrainTarget(path, d)
		v.checkDrainAccount(path, d.Account)
		if !d.End.After(d.Start) {
			v.add(d.End, "a time after start", "%s.end", path)
		}
	}
}

// checkDrainTarget checks that the target exists. Backend servers are not part
// of the document, so only the form of their names is checked.
func (v *validator) checkDrainTarget(path string, d Drain) {
	switch d.Kind {
	case DrainServer:
		v.checkName(d.Target, "%s.target", path)
	case DrainEntry:
		v.checkSlotExists(model.VMID(d.Target), "%s.target", path)
	case DrainZone:
		v.checkZoneExists(model.Zone(d.Target), "%s.target", path)
	case DrainRegion:
		v.checkRegionExists(model.Region(d.Target), "%s.target", path)
	default:
		v.add(d.Kind, "server, entry, zone or region", "%s.kind", path)
	}
}

func (v *validator) checkSlotExists(vm model.VMID, format string, args ...any) {
	for _, s := range v.doc.Slots {
		if s.VM == vm {
			return
		}
	}
	v.add(vm, "an entry VM of this document's slots", format, args...)
}

func (v *validator) checkDrainAccount(path string, id model.AccountID) {
	if id == "" {
		return
	}
	for _, a := range v.doc.Accounts {
		if a.ID == id {
			return
		}
	}
	v.add(id, "an account of this document, or empty", "%s.account", path)
}
