package config

import (
	"strings"

	"fuchsiaspar/internal/model"
)

// Snapshot is a document with the indexes that the data path needs. It is
// immutable.
type Snapshot struct {
	doc       *Document
	zones     map[model.Zone]model.Region
	templates map[model.ServiceName]*Template
	accounts  map[model.AccountID]*Account
	services  map[serviceKey]*serviceParams
}

type serviceKey struct {
	account model.AccountID
	service model.ServiceName
}

// serviceParams are the parameters of a service for one account, with the
// template's defaults applied.
type serviceParams struct {
	shiftCap int64
	weight   int64
	// classes are in match order; see matchOrder.
	classes []Class
}

// NewSnapshot indexes a valid document. The caller must not modify doc
// afterwards.
func NewSnapshot(doc *Document) *Snapshot {
	s := &Snapshot{
		doc:       doc,
		zones:     make(map[model.Zone]model.Region, len(doc.Zones)),
		templates: make(map[model.ServiceName]*Template, len(doc.Templates)),
		accounts:  make(map[model.AccountID]*Account, len(doc.Accounts)),
		services:  make(map[serviceKey]*serviceParams),
	}
	for _, z := range doc.Zones {
		s.zones[z.Name] = z.Region
	}
	byName := make(map[string]*Template, len(doc.Templates))
	for i := range doc.Templates {
		t := &doc.Templates[i]
		byName[t.Name] = t
		s.templates[t.Service] = t
	}
	s.addAccounts(byName)
	return s
}

func (s *Snapshot) addAccounts(byName map[string]*Template) {
	defaults := make(map[string]*serviceParams, len(byName))
	for name, t := range byName {
		defaults[name] = mergeParams(t, AccountService{}, matchOrder(t.Classes))
	}
	for i := range s.doc.Accounts {
		a := &s.doc.Accounts[i]
		s.accounts[a.ID] = a
		for _, params := range a.Services {
			t := byName[params.Template]
			if t == nil {
				continue
			}
			key := serviceKey{a.ID, t.Service}
			s.services[key] = mergeParams(t, params, defaults[t.Name].classes)
		}
	}
}

// mergeParams applies an account's parameters to a template. classes are the
// template's classes in match order. The result shares them unless the account
// overrides priorities.
func mergeParams(t *Template, params AccountService, classes []Class) *serviceParams {
	return &serviceParams{
		shiftCap: valueOr(params.ShiftCap, t.ShiftCap.Default),
		weight:   valueOr(params.Weight, t.Weight.Default),
		classes:  applyClassPriorities(classes, params.Classes),
	}
}

func valueOr(value *int64, fallback int64) int64 {
	if value == nil {
		return fallback
	}
	return *value
}

func applyClassPriorities(classes []Class, ranks []ClassPriority) []Class {
	if len(ranks) == 0 {
		return classes
	}
	result := append([]Class(nil), classes...)
	for i := range result {
		for _, r := range ranks {
			if r.Class == result[i].Name {
				result[i].Priority = r.Priority
			}
		}
	}
	return result
}

// Document returns the document. The caller must not modify it.
func (s *Snapshot) Document() *Document { return s.doc }

// Revision returns the document's revision.
func (s *Snapshot) Revision() model.Revision { return s.doc.Revision }

// Slots returns the provisioned entry VMs. The caller must not modify them.
func (s *Snapshot) Slots() []Slot { return s.doc.Slots }

// ZoneRegion returns the region of a zone, and false for an unknown zone.
func (s *Snapshot) ZoneRegion(zone model.Zone) (model.Region, bool) {
	region, ok := s.zones[zone]
	return region, ok
}

// Template returns the template of a service, and false for an unknown service.
func (s *Snapshot) Template(service model.ServiceName) (*Template, bool) {
	t, ok := s.templates[service]
	return t, ok
}

// Account returns a client account, and false for an unknown one. The caller
// must not modify it.
func (s *Snapshot) Account(id model.AccountID) (*Account, bool) {
	a, ok := s.accounts[id]
	return a, ok
}

// Uses reports whether the account may use the service.
func (s *Snapshot) Uses(account model.AccountID, service model.ServiceName) bool {
	return s.services[serviceKey{account, service}] != nil
}

// Classify returns the class of a request, with the priority that applies to
// the account. The class with the longest matching path prefix wins; among
// equals, one that specifies the method. It returns false if the account does
// not use the service or no class matches.
func (s *Snapshot) Classify(account model.AccountID, service model.ServiceName, method, path string) (Class, bool) {
	e := s.services[serviceKey{account, service}]
	if e == nil {
		return Class{}, false
	}
	for i := range e.classes {
		if e.classes[i].matches(method, path) {
			return e.classes[i], true
		}
	}
	return Class{}, false
}

func (c *Class) matches(method, path string) bool {
	if c.Method != "" && c.Method != method {
		return false
	}
	return strings.HasPrefix(path, c.PathPrefix)
}

// ShiftCap returns the limit on the requests per second of an account and
// service that are shifted to other zones, and false if the account does not
// use the service.
func (s *Snapshot) ShiftCap(account model.AccountID, service model.ServiceName) (int64, bool) {
	e := s.services[serviceKey{account, service}]
	if e == nil {
		return 0, false
	}
	return e.shiftCap, true
}

// Weight returns the weight of an account within one priority of a service, and
// false if the account does not use the service.
func (s *Snapshot) Weight(account model.AccountID, service model.ServiceName) (int64, bool) {
	e := s.services[serviceKey{account, service}]
	if e == nil {
		return 0, false
	}
	return e.weight, true
}
