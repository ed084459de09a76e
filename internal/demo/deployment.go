package demo

import (
	"fmt"
	"net/netip"
	"time"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/model"
)

// Deployment is a built-in deployment of the demo: its regions, delays, links,
// services and client accounts. Service times, and thereby rates, are scaled so
// that one machine can run the whole deployment; its structure is not scaled.
type Deployment struct {
	Name    string
	Regions []model.Region
	Delays  Delays
	// LinkBytes is the capacity of a link between two regions, in bytes per
	// second in each direction.
	LinkBytes int64
	Services  []Service
	Accounts  []model.AccountID
	// ShiftCap limits the requests of one account to one service that run outside
	// their home zone, in requests per second for each home zone.
	ShiftCap int64
	// SingleRegion places the servers of every service but the first in the first
	// region.
	SingleRegion bool
	// Scaling says in the report what is scaled.
	Scaling string
}

// Service is a service of a deployment with its backend servers. MaxConns is the
// number of connections that one server accepts.
type Service struct {
	Name     model.ServiceName
	Servers  int
	MaxConns int
	Kinds    []Kind
}

// Kind is a class of requests to a service.
type Kind struct {
	Name       string
	Path       string
	Priority   model.Priority
	Idempotent bool
	Long       bool
	Deadline   time.Duration
	// Bytes is the size of the response body.
	Bytes int
	// ServiceTime is how long a warm server takes to run the request.
	ServiceTime time.Duration
}

const (
	// slotsPerServer is the number of requests that a server runs at once.
	slotsPerServer = 3
	// zonesPerRegion is the number of availability zones in a region.
	zonesPerRegion = 2
	// shiftCap is the default of Deployment.ShiftCap, in requests per second.
	shiftCap = 600
	// connSetupTime delays the first byte of a new connection to a server.
	connSetupTime = time.Millisecond
	// lookupTTL is how long callers cache the result of a look-up.
	lookupTTL = time.Second
	mebibyte  = 1 << 20
)

// Deployments returns the built-in deployments by name.
func Deployments() map[string]Deployment {
	return map[string]Deployment{"kanalnet": kanalnet(), "hofer": hofer()}
}

// kanalnet returns a deployment with regions 12 ms apart and links of 500 MB/s.
func kanalnet() Deployment {
	return Deployment{
		Name:      "kanalnet",
		Regions:   []model.Region{"lj", "mb", "kp"},
		Delays:    Delays{Zone: time.Millisecond, Region: 12 * time.Millisecond, Client: time.Millisecond},
		LinkBytes: 500_000_000,
		ShiftCap:  shiftCap,
		Accounts:  []model.AccountID{"carrier", "builder", "survey"},
		Scaling:   "servers, slots, connections, links and delays as stated by the users; service times of 100 to 300 ms set the fleet's rate to what one machine carries",
		Services: []Service{
			{Name: "lease-desk", Servers: 20, MaxConns: 360, Kinds: deskKinds("duct", "reserve", "route-map", "sync")},
			{Name: "plan-vault", Servers: 12, MaxConns: 360, Kinds: vaultKinds("pack", "survey", mebibyte)},
		},
	}
}

// hofer returns a deployment with regions 35 ms apart and links of 35 MB/s.
func hofer() Deployment {
	return Deployment{
		Name:      "hofer",
		Regions:   []model.Region{"tirol", "wien", "steiermark"},
		Delays:    Delays{Zone: time.Millisecond, Region: 35 * time.Millisecond, Client: 3 * time.Millisecond},
		LinkBytes: 35_000_000,
		ShiftCap:  shiftCap,
		Accounts:  []model.AccountID{"dealers", "shops", "museums"},
		Scaling:   "servers, slots, connections, links and delays as stated by the users; service times of 100 to 300 ms set the fleet's rate to what one machine carries",
		Services: []Service{
			{Name: "order-desk", Servers: 20, MaxConns: 390, Kinds: deskKinds("stock", "order", "price-list", "report")},
			{Name: "pattern-archive", Servers: 16, MaxConns: 390, Kinds: vaultKinds("chart", "catalogue", mebibyte/2)},
		},
	}
}

// deskKinds returns the kinds of a service with small responses: urgent queries,
// urgent non-idempotent orders, and normal and bulk requests.
func deskKinds(query, order, normal, bulk string) []Kind {
	return []Kind{
		{Name: query, Path: "/" + query, Priority: model.PriorityUrgent, Idempotent: true, Deadline: time.Second, Bytes: 600, ServiceTime: 100 * time.Millisecond},
		{Name: order, Path: "/" + order, Priority: model.PriorityUrgent, Deadline: 2 * time.Second, Bytes: 200, ServiceTime: 100 * time.Millisecond},
		{Name: normal, Path: "/" + normal, Priority: model.PriorityNormal, Idempotent: true, Deadline: 2 * time.Second, Bytes: 8 << 10, ServiceTime: 100 * time.Millisecond},
		{Name: bulk, Path: "/" + bulk, Priority: model.PriorityBulk, Idempotent: true, Deadline: 4 * time.Second, Bytes: 4 << 10, ServiceTime: 100 * time.Millisecond},
	}
}

// vaultKinds returns the kinds of a service with long transfers of size bytes and
// bulk requests.
func vaultKinds(transfer, bulk string, size int) []Kind {
	return []Kind{
		{Name: transfer, Path: "/" + transfer, Priority: model.PriorityNormal, Idempotent: true, Long: true, Deadline: 5 * time.Second, Bytes: size, ServiceTime: 300 * time.Millisecond},
		{Name: bulk, Path: "/" + bulk, Priority: model.PriorityBulk, Idempotent: true, Deadline: 4 * time.Second, Bytes: 64 << 10, ServiceTime: 200 * time.Millisecond},
	}
}

// zones returns the availability zones in the order of the regions.
func (d Deployment) zones() []config.Zone {
	var zones []config.Zone
	for _, region := range d.Regions {
		for i := range zonesPerRegion {
			name := model.Zone(fmt.Sprintf("%s-%c", region, 'a'+i))
			zones = append(zones, config.Zone{Name: name, Region: region})
		}
	}
	return zones
}

// zonesOf returns the availability zones that run a service.
func (d Deployment) zonesOf(s Service) []config.Zone {
	if d.SingleRegion && s.Name != d.Services[0].Name {
		return d.zones()[:zonesPerRegion]
	}
	return d.zones()
}

// withScenario returns the deployment with the caps and the placement of a
// scenario.
func (d Deployment) withScenario(s Scenario) Deployment {
	if s.ShiftCap > 0 {
		d.ShiftCap = s.ShiftCap
	}
	if s.LinkBytes > 0 {
		d.LinkBytes = s.LinkBytes
	}
	d.SingleRegion = s.SingleRegion
	return d
}

// slots returns one entry VM slot in each zone and a second one in the first zone.
func (d Deployment) slots() []config.Slot {
	var slots []config.Slot
	for i, zone := range d.zones() {
		slots = append(slots, config.Slot{VM: model.VMID(zone.Name) + "-1", Zone: zone.Name})
		if i == 0 {
			slots = append(slots, config.Slot{VM: model.VMID(zone.Name) + "-2", Zone: zone.Name})
		}
	}
	return slots
}

// document returns the deployment's first configuration.
func (d Deployment) document() *config.Document {
	doc := &config.Document{
		Lookup: config.Lookup{TTL: model.Duration(lookupTTL)},
		Zones:  d.zones(),
		Slots:  d.slots(),
	}
	for _, from := range d.Regions {
		for _, to := range d.Regions {
			if from != to {
				doc.Links = append(doc.Links, config.Link{From: from, To: to, BytesPerSecond: d.LinkBytes})
			}
		}
	}
	for _, service := range d.Services {
		doc.Templates = append(doc.Templates, d.template(service))
	}
	for i, id := range d.Accounts {
		doc.Accounts = append(doc.Accounts, d.account(i, id))
	}
	return doc
}

// template returns the configuration template of a service.
func (d Deployment) template(s Service) config.Template {
	t := config.Template{
		Name:         string(s.Name),
		Service:      s.Name,
		Server:       config.ServerClass{Slots: slotsPerServer, MaxConns: s.MaxConns, ColdStart: model.Duration(time.Second)},
		Floors:       config.Floors{Normal: 15, Bulk: 5},
		QueueLimit:   200,
		RetryPercent: 10,
		ShiftCap:     config.Range{Min: 0, Max: 100_000, Default: d.ShiftCap},
		Weight:       config.Range{Min: 1, Max: 100, Default: 1},
	}
	for _, zone := range d.zonesOf(s) {
		t.Places = append(t.Places, zone.Name)
	}
	for _, k := range s.Kinds {
		t.Classes = append(t.Classes, config.Class{
			Name:       k.Name,
			PathPrefix: k.Path,
			Priority:   k.Priority,
			Highest:    model.PriorityUrgent,
			Lowest:     model.PriorityBulk,
			Idempotent: k.Idempotent,
			Long:       k.Long,
			Deadline:   model.Duration(k.Deadline),
		})
	}
	return t
}

// account returns the configuration of the n-th account, with one block of client
// addresses in every zone.
func (d Deployment) account(n int, id model.AccountID) config.Account {
	a := config.Account{ID: id}
	for _, s := range d.Services {
		a.Services = append(a.Services, config.AccountService{Template: string(s.Name)})
	}
	for i, zone := range d.zones() {
		a.Blocks = append(a.Blocks, config.Block{
			Prefix: clientBlock(n, i),
			Places: []config.Place{{Zone: zone.Name, Weight: 1}},
		})
	}
	return a
}

// clientBlock returns the client addresses of the n-th account in the i-th zone.
func clientBlock(n, i int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(n), byte(i), 0}), 24)
}
