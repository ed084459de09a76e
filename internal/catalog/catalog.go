// Package catalog defines the data by which an entry VM routes requests: routes,
// services, backend servers, evacuated availability zones and entry VMs. A
// Snapshot combines them into one immutable view.
package catalog

import (
	"time"

	"fuchsiaspar/internal/model"
)

// Kind is the kind of a route's requests. It determines whether they may be
// repeated.
type Kind uint8

// The kinds of requests.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Download requests are idempotent and have large responses.
	Download
	// Upload requests run at most once and have large bodies.
	Upload
	// UnknownKind requests are of a kind that this program does not know. They
	// run at most once, which is right for every kind.
	UnknownKind
)

// String returns the name of k as used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Download:
		return "download"
	case Upload:
		return "upload"
	case UnknownKind:
		return "unknown"
	default:
		return "non_idempotent"
	}
}

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k == Idempotent || k == Download }

// WeightedService is a service of a route and its weight in the traffic split.
type WeightedService struct {
	Service model.ServiceName
	// Weight is relative to the sum of the route's weights.
	Weight float64
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix of the requests.
	Prefix string
	Kind   Kind
	// Timeout bounds the time until a request is answered; zero means no bound.
	Timeout time.Duration
	// TargetLatency is the target latency of a response.
	TargetLatency time.Duration
	// MaxAttempts bounds the number of servers that a request is sent to.
	MaxAttempts int
	// Rank is the priority of the route; zero is the highest.
	Rank int
	// Targets holds the services of the route, more than one for a traffic split.
	Targets []WeightedService
	// Regions lists the regions in which requests may run; empty means all.
	Regions []model.Region
	// Exempt reports that requests need no key of a client account.
	Exempt bool
	// Affinity reports that servers are faster on objects they handled recently,
	// so that requests for one object should go to the same server.
	Affinity bool
}

// Service configures a group of interchangeable backend servers.
type Service struct {
	// HealthPath is the path of health checks.
	HealthPath     string
	MaxConnections int
	// ColdDuration is the warm-up time of a server after its start.
	ColdDuration time.Duration
	// ColdRate is the number of requests per second that a server can handle
	// during its warm-up.
	ColdRate float64
}

// Limits bounds the requests and connections of clients.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time to read a request header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time that an idle connection is kept.
	IdleTimeout time.Duration
}

// Config is a version of the operator's configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[model.ServiceName]Service
	Limits   Limits
	// Accounts holds the client accounts. Without any, requests need no key.
	Accounts Accounts
}

// Server is a backend server as registered in the store.
type Server struct {
	ID      model.ServerID
	Service model.ServiceName
	Address string
	Zone    model.Zone
	Region  model.Region
	// Slots is the number of requests that the server handles at once.
	Slots int
	// Draining servers get no new requests.
	Draining bool
	// ColdRemaining is the remaining warm-up time when the entry was decoded.
	ColdRemaining time.Duration
	// Started is the start time of the server process in Unix milliseconds.
	Started int64
}

// VM is the record of an entry VM: its location, addresses and resources.
type VM struct {
	Name   model.VMID   `json:"name"`
	Zone   model.Zone   `json:"zone"`
	Region model.Region `json:"region"`
	// Front is the address for clients, Peer the one for other entry VMs.
	Front string `json:"front"`
	Peer  string `json:"peer"`
	// LinkMbps is the bandwidth of the VM's link in Mbit/s, CPUShare its share of
	// the CPU; zero means unknown.
	LinkMbps float64 `json:"link_mbps"`
	CPUShare float64 `json:"cpu_share"`
	// Started is the start time of the process in Unix milliseconds.
	Started int64 `json:"started"`
}
