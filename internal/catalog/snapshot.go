package catalog

import (
	"slices"
	"strings"
	"time"

	"fuchsiaspar/internal/model"
)

// Snapshot is an immutable view of all data that requests are routed by.
type Snapshot struct {
	// Revision is the store revision up to which the snapshot is complete.
	Revision uint64
	// Config is nil until a configuration is known.
	Config *Config
	// Servers lists the usable servers of each service, ordered by id.
	Servers map[model.ServiceName][]*Server
	// EvacuatedZones holds the zones whose servers get no requests.
	EvacuatedZones map[model.Zone]bool
	// VMs lists the entry VMs with a record in the store.
	VMs map[model.VMID]VM
	// ConfigUpdatedAt and ServersUpdatedAt are when this VM last received a
	// configuration and a change of the server entries; zero means never.
	ConfigUpdatedAt, ServersUpdatedAt time.Time

	// hosts lists the routes of each host, the longest prefix first.
	hosts map[string][]*Route
}

// NewSnapshot returns a snapshot. It leaves out servers that are draining or in
// an evacuated zone. The maps and the configuration must not change afterwards.
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

// indexRoutes groups the routes by host, the longest prefix first.
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

// MatchRoute returns the route of host with the longest prefix that matches
// path, or nil if there is none.
func (s *Snapshot) MatchRoute(host, path string) *Route {
	for _, route := range s.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}
