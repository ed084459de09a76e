package config

import (
	"strings"

	"fuchsiaspar/internal/model"
)

// Snapshot is a document with the look-ups that the data path needs. It is
// immutable.
type Snapshot struct {
	doc       *Document
	zones     map[model.Zone]model.Region
	templates map[model.ServiceName]*Template
	accounts  map[model.AccountID]*Account
	services  map[accountService]*effective
}

type accountService struct {
	account model.AccountID
	service model.ServiceName
}

// effective is a template with one account's parameters filled in.
type effective struct {
	shiftCap int64
	weight   int64
	// classes are in the order of matching: longest prefix first, then those
	// with a method before those without.
	classes []Class
}

// NewSnapshot derives the look-ups of a valid document. The caller must not
// change doc afterwards.
func NewSnapshot(doc *Document) *Snapshot {
	s := &Snapshot{
		doc:       doc,
		zones:     make(map[model.Zone]model.Region, len(doc.Zones)),
		templates: make(map[model.ServiceName]*Template, len(doc.Templates)),
		accounts:  make(map[model.AccountID]*Account, len(doc.Accounts)),
		services:  make(map[accountService]*effective),
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
	defaults := make(map[string]*effective, len(byName))
	for name, t := range byName {
		defaults[name] = fillIn(t, AccountService{}, matchOrder(t.Classes))
	}
	for i := range s.doc.Accounts {
		a := &s.doc.Accounts[i]
		s.accounts[a.ID] = a
		for _, params := range a.Services {
			t := byName[params.Template]
			if t == nil {
				continue
			}
			key := accountService{a.ID, t.Service}
			s.services[key] = fillIn(t, params, defaults[t.Name].classes)
		}
	}
}

// fillIn applies an account's parameters to a template whose classes are given
// in the order of matching. Accounts without ranks of their own share classes.
func fillIn(t *Template, params AccountService, classes []Class) *effective {
	return &effective{
		shiftCap: valueOr(params.ShiftCap, t.ShiftCap.Default),
		weight:   valueOr(params.Weight, t.Weight.Default),
		classes:  applyRanks(classes, params.Classes),
	}
}

func valueOr(value *int64, standard int64) int64 {
	if value == nil {
		return standard
	}
	return *value
}

func applyRanks(classes []Class, ranks []ClassPriority) []Class {
	if len(ranks) == 0 {
		return classes
	}
	ranked := append([]Class(nil), classes...)
	for i := range ranked {
		for _, r := range ranks {
			if r.Class == ranked[i].Name {
				ranked[i].Priority = r.Priority
			}
		}
	}
	return ranked
}

// Document returns the document. The caller must not change it.
func (s *Snapshot) Document() *Document { return s.doc }

// Revision returns the document's revision.
func (s *Snapshot) Revision() model.Revision { return s.doc.Revision }

// Slots returns the provisioned entry VMs. The caller must not change them.
func (s *Snapshot) Slots() []Slot { return s.doc.Slots }

// ZoneRegion returns the region of a zone.
func (s *Snapshot) ZoneRegion(zone model.Zone) (model.Region, bool) {
	region, ok := s.zones[zone]
	return region, ok
}

// Template returns the template of a service.
func (s *Snapshot) Template(service model.ServiceName) (*Template, bool) {
	t, ok := s.templates[service]
	return t, ok
}

// Account returns a client account.
func (s *Snapshot) Account(id model.AccountID) (*Account, bool) {
	a, ok := s.accounts[id]
	return a, ok
}

// Uses reports whether the account may use the service.
func (s *Snapshot) Uses(account model.AccountID, service model.ServiceName) bool {
	return s.services[accountService{account, service}] != nil
}

// Classify returns the class of a request, with the account's own rank as its
// priority: the class whose path prefix is longest and, among equals, the one
// that names the method.
func (s *Snapshot) Classify(account model.AccountID, service model.ServiceName, method, path string) (Class, bool) {
	e := s.services[accountService{account, service}]
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

// ShiftCap returns the cap on an account's shifts of a service, in requests a
// second, and false for a service that the account does not use.
func (s *Snapshot) ShiftCap(account model.AccountID, service model.ServiceName) (int64, bool) {
	e := s.services[accountService{account, service}]
	if e == nil {
		return 0, false
	}
	return e.shiftCap, true
}

// Weight returns an account's share within one priority of a service, and
// false for a service that the account does not use.
func (s *Snapshot) Weight(account model.AccountID, service model.ServiceName) (int64, bool) {
	e := s.services[accountService{account, service}]
	if e == nil {
		return 0, false
	}
	return e.weight, true
}
