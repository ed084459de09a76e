package config

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"fuchsiaspar/internal/model"
)

// Limits of the values of a document.
const (
	maxNameBytes      = 64
	minTTL            = 100 * time.Millisecond
	maxTTL            = 5 * time.Minute
	maxDeadline       = 24 * time.Hour
	maxColdStart      = time.Hour
	maxServerSlots    = 10_000
	maxServerConns    = 1_000_000
	maxQueueLimit     = 1_000_000
	maxPercent        = 100
	maxPlaceWeight    = 1_000_000
	maxLinkBytes      = 1 << 50
	maxRangeValue     = 1 << 40
	maxPathPrefixSize = 1024
)

// Validate returns nil if doc may be activated, and otherwise Problems with
// every invalid value.
func Validate(doc *Document) error {
	v := &validator{
		doc:       doc,
		zones:     make(map[model.Zone]bool),
		regions:   make(map[model.Region]bool),
		templates: make(map[string]*Template),
	}
	v.checkLookup()
	v.checkZones()
	v.checkSlots()
	v.checkLinks()
	v.checkTemplates()
	v.checkAccounts()
	v.checkDrains()
	if len(v.problems) == 0 {
		return nil
	}
	return v.problems
}

// validator collects the zones, regions and templates to which other parts of
// the document refer.
type validator struct {
	checker
	doc       *Document
	zones     map[model.Zone]bool
	regions   map[model.Region]bool
	templates map[string]*Template
}

func (v *validator) checkLookup() {
	v.checkDuration(v.doc.Lookup.TTL, minTTL, maxTTL, "lookup.ttl")
}

func (v *validator) checkDuration(value model.Duration, low, high time.Duration, format string, args ...any) {
	if value.Std() >= low && value.Std() <= high {
		return
	}
	v.add(value.Std(), fmt.Sprintf("%s to %s", low, high), format, args...)
}

func (v *validator) checkZones() {
	for i, z := range v.doc.Zones {
		v.checkName(string(z.Name), "zones[%d].name", i)
		v.checkName(string(z.Region), "zones[%d].region", i)
		checkUnique(&v.checker, v.zones, z.Name, "zones[%d].name", i)
		v.regions[z.Region] = true
	}
}

// checkZoneExists records a problem unless the document defines the zone.
func (v *validator) checkZoneExists(zone model.Zone, format string, args ...any) {
	if v.zones[zone] {
		return
	}
	v.add(zone, "a zone of this document", format, args...)
}

func (v *validator) checkSlots() {
	seen := make(map[model.VMID]bool)
	for i, s := range v.doc.Slots {
		v.checkName(string(s.VM), "slots[%d].vm", i)
		checkUnique(&v.checker, seen, s.VM, "slots[%d].vm", i)
		v.checkZoneExists(s.Zone, "slots[%d].zone", i)
	}
}

func (v *validator) checkLinks() {
	type ends struct{ from, to model.Region }
	seen := make(map[ends]bool)
	for i, l := range v.doc.Links {
		v.checkRegionExists(l.From, "links[%d].from", i)
		v.checkRegionExists(l.To, "links[%d].to", i)
		if l.From == l.To {
			v.add(l.To, "a region other than from", "links[%d].to", i)
		}
		checkUnique(&v.checker, seen, ends{l.From, l.To}, "links[%d]", i)
		v.checkRange(l.BytesPerSecond, 1, maxLinkBytes, "links[%d].bytes_per_second", i)
	}
}

func (v *validator) checkRegionExists(region model.Region, format string, args ...any) {
	if v.regions[region] {
		return
	}
	v.add(region, "a region of this document's zones", format, args...)
}

func (v *validator) checkTemplates() {
	services := make(map[model.ServiceName]bool)
	seen := make(map[string]bool)
	for i := range v.doc.Templates {
		t := &v.doc.Templates[i]
		v.checkName(t.Name, "templates[%d].name", i)
		checkUnique(&v.checker, seen, t.Name, "templates[%d].name", i)
		v.templates[t.Name] = t
		path := fmt.Sprintf("templates[%s]", t.Name)
		v.checkName(string(t.Service), "%s.service", path)
		checkUnique(&v.checker, services, t.Service, "%s.service", path)
		v.checkTemplate(path, t)
	}
}

func (v *validator) checkTemplate(path string, t *Template) {
	v.checkTemplatePlaces(path, t.Places)
	v.checkRange(int64(t.Server.Slots), 1, maxServerSlots, "%s.server.slots", path)
	v.checkRange(int64(t.Server.MaxConns), 1, maxServerConns, "%s.server.max_conns", path)
	v.checkDuration(t.Server.ColdStart, 0, maxColdStart, "%s.server.cold_start", path)
	v.checkFloors(path, t.Floors)
	v.checkRange(int64(t.QueueLimit), 1, maxQueueLimit, "%s.queue_limit", path)
	v.checkRange(int64(t.RetryPercent), 0, maxPercent, "%s.retry_percent", path)
	v.checkParameterRange(t.ShiftCap, 0, path+".shift_cap")
	v.checkParameterRange(t.Weight, 1, path+".weight")
	v.checkClasses(path, t.Classes)
}

func (v *validator) checkTemplatePlaces(path string, places []model.Zone) {
	if len(places) == 0 {
		v.add("", "at least one zone", "%s.places", path)
	}
	seen := make(map[model.Zone]bool)
	for i, zone := range places {
		v.checkZoneExists(zone, "%s.places[%d]", path, i)
		checkUnique(&v.checker, seen, zone, "%s.places[%d]", path, i)
	}
}

func (v *validator) checkFloors(path string, f Floors) {
	v.checkRange(int64(f.Urgent), 0, maxPercent, "%s.floors.urgent", path)
	v.checkRange(int64(f.Normal), 0, maxPercent, "%s.floors.normal", path)
	v.checkRange(int64(f.Bulk), 0, maxPercent, "%s.floors.bulk", path)
	if sum := f.Urgent + f.Normal + f.Bulk; sum > maxPercent {
		v.add(sum, "a sum of at most 100", "%s.floors", path)
	}
}

func (v *validator) checkParameterRange(r Range, lowest int64, path string) {
	v.checkRange(r.Min, lowest, maxRangeValue, "%s.min", path)
	v.checkRange(r.Max, max(lowest, r.Min), maxRangeValue, "%s.max", path)
	v.checkRange(r.Default, r.Min, r.Max, "%s.default", path)
}

func (v *validator) checkClasses(path string, classes []Class) {
	type rule struct{ method, prefix string }
	names := make(map[string]bool)
	rules := make(map[rule]bool)
	if len(classes) == 0 {
		v.add("", "at least one class", "%s.classes", path)
	}
	for i, c := range classes {
		v.checkName(c.Name, "%s.classes[%d].name", path, i)
		checkUnique(&v.checker, names, c.Name, "%s.classes[%d].name", path, i)
		at := fmt.Sprintf("%s.classes[%s]", path, c.Name)
		checkUnique(&v.checker, rules, rule{c.Method, c.PathPrefix}, "%s.path_prefix", at)
		v.checkClass(at, c)
	}
}

func (v *validator) checkClass(path string, c Class) {
	if !validMethod(c.Method) {
		v.add(c.Method, "an HTTP method in capitals, or empty", "%s.method", path)
	}
	if !strings.HasPrefix(c.PathPrefix, "/") || len(c.PathPrefix) > maxPathPrefixSize {
		v.add(c.PathPrefix, "a path that starts with /", "%s.path_prefix", path)
	}
	v.checkDuration(c.Deadline, time.Millisecond, maxDeadline, "%s.deadline", path)
	v.checkPriorityRange(path, c)
}

// checkPriorityRange checks Highest <= Priority <= Lowest. A lower number is
// more urgent.
func (v *validator) checkPriorityRange(path string, c Class) {
	if c.Lowest >= model.NumPriorities {
		v.add(c.Lowest, "urgent, normal or bulk", "%s.lowest", path)
	}
	if c.Highest > c.Lowest {
		v.add(c.Highest, "a priority not below lowest, "+c.Lowest.String(), "%s.highest", path)
	}
	if c.Priority < c.Highest || c.Priority > c.Lowest {
		v.add(c.Priority, priorityBounds(c), "%s.priority", path)
	}
}

func priorityBounds(c Class) string {
	return fmt.Sprintf("%s (highest) to %s (lowest)", c.Highest, c.Lowest)
}

func validMethod(method string) bool {
	for _, r := range method {
		if r < 'A' || r > 'Z' {
			return false
		}
	}
	return len(method) <= maxNameBytes
}

func (v *validator) checkAccounts() {
	seen := make(map[model.AccountID]bool)
	prefixes := make(map[netip.Prefix]bool)
	for i, a := range v.doc.Accounts {
		v.checkName(string(a.ID), "accounts[%d].id", i)
		checkUnique(&v.checker, seen, a.ID, "accounts[%d].id", i)
		path := fmt.Sprintf("accounts[%s]", a.ID)
		v.checkAccountServices(path, a.Services)
		v.checkBlocks(path, a.Blocks, prefixes)
	}
}

func (v *validator) checkAccountServices(path string, services []AccountService) {
	seen := make(map[string]bool)
	for i, s := range services {
		checkUnique(&v.checker, seen, s.Template, "%s.services[%d].template", path, i)
		t := v.templates[s.Template]
		if t == nil {
			v.add(s.Template, "a template of this document", "%s.services[%d].template", path, i)
			continue
		}
		at := fmt.Sprintf("%s.services[%s]", path, s.Template)
		v.checkParameter(s.ShiftCap, t.ShiftCap, at+".shift_cap")
		v.checkParameter(s.Weight, t.Weight, at+".weight")
		v.overrides(at, s.Classes, t)
	}
}

func (v *validator) checkParameter(value *int64, r Range, path string) {
	if value != nil {
		v.checkRange(*value, r.Min, r.Max, "%s", path)
	}
}

func (v *validator) overrides(path string, overrides []ClassPriority, t *Template) {
	seen := make(map[string]bool)
	for i, override := range overrides {
		checkUnique(&v.checker, seen, override.Class, "%s.classes[%d].class", path, i)
		class, ok := t.class(override.Class)
		if !ok {
			v.add(override.Class, "a class of template "+t.Name, "%s.classes[%d].class", path, i)
			continue
		}
		if override.Priority < class.Highest || override.Priority > class.Lowest {
			v.add(override.Priority, priorityBounds(class), "%s.classes[%s].priority", path, override.Class)
		}
	}
}

func (t *Template) class(name string) (Class, bool) {
	for _, c := range t.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

func (v *validator) checkBlocks(path string, blocks []Block, prefixes map[netip.Prefix]bool) {
	for i, b := range blocks {
		if !b.Prefix.IsValid() || b.Prefix != b.Prefix.Masked() {
			v.add(b.Prefix, "a prefix without host bits such as 10.1.0.0/16", "%s.blocks[%d].prefix", path, i)
		}
		if prefixes[b.Prefix] {
			v.add(b.Prefix, "a prefix used once", "%s.blocks[%d].prefix", path, i)
		}
		prefixes[b.Prefix] = true
		v.checkBlockPlaces(path, i, b.Places)
	}
}

func (v *validator) checkBlockPlaces(path string, block int, places []Place) {
	if len(places) == 0 {
		v.add("", "at least one place", "%s.blocks[%d].places", path, block)
	}
	for i, p := range places {
		if !v.zones[p.Zone] {
			v.checkZoneExists(p.Zone, "%s.blocks[%d].places[%d].zone", path, block, i)
		}
		if p.Weight < 1 || p.Weight > maxPlaceWeight {
			v.checkRange(int64(p.Weight), 1, maxPlaceWeight, "%s.blocks[%d].places[%d].weight", path, block, i)
		}
		if containsZone(places[:i], p.Zone) {
			v.add(p.Zone, "a zone used once", "%s.blocks[%d].places[%d].zone", path, block, i)
		}
	}
}

func containsZone(places []Place, zone model.Zone) bool {
	for _, p := range places {
		if p.Zone == zone {
			return true
		}
	}
	return false
}
