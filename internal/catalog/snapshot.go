package catalog

import (
	"slices"
	"strings"
	"time"

	"fuchsiaspar/internal/model"
)

// Snapshot is an immutable view of everything that requests are decided by.
type Snapshot struct {
	// Revision is the store revision up to which the snapshot is complete.
	Revision uint64
	// Config is nil until a configuration is known.
	Config *Config
	// Servers lists the usable servers of each service, ordered by id.
	Servers map[model.ServiceName][]*Server
	// Evacuated holds the zones whose servers get nothing.
	EvacuatedZones map[model.Zone]bool
	// VMs lists the entry VMs with a record in the store.
	VMs map[model.VMID]VM
	// ConfigSince and ServersSince are when this VM last took in a
	// configuration and a change of the servers; zero means never.
	ConfigSince, ServersSince time.Time

	hosts map[string][]*Route
}

// NewSnapshot indexes the parts of a snapshot. It leaves out servers that are
// draining or stand in an evacuated zone.
func NewSnapshot(revision uint64, config *Config, servers []*Server, evacuated map[model.Zone]bool, vms map[model.VMID]VM) *Snapshot {
	s := &Snapshot{
		Revision:       revision,
		Config:         config,
		Servers:        make(map[model.ServiceName][]*Server),
		EvacuatedZones: evacuated,
		VMs:            vms,
		hosts:          make(map[string][]*Route),
	}
	for _, server := range servers {
		if server.Draining || evacuated[server.Zone] {
			continue
		}
		s.Servers[server.Service] = append(s.Servers[server.Service], server)
	}
	for _, list := range s.Servers {
		slices.SortFunc(list, func(a, b *Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	s.indexRoutes()
	return s
}

// indexRoutes orders the routes of each host by falling length of the prefix.
func (s *Snapshot) indexRoutes() {
	if s.Config == nil {
		return
	}
	for i := range s.Config.Routes {
		route := &s.Config.Routes[i]
		s.hosts[route.Host] = append(s.hosts[route.Host], route)
	}
	for _, routes := range s.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Match returns the route with the longest prefix of path among the routes of
// host, or nil.
func (s *Snapshot) MatchRoute(host, path string) *Route {
	for _, route := range s.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}
