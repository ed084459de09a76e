// Package catalog holds what an entry VM serves: routes, services, backend
// servers and evacuated availability zones, as one immutable snapshot.
package catalog

import (
	"time"

	"fuchsiaspar/internal/model"
)

// Kind says what may be done with a request of a route.
type Kind uint8

// The kinds of requests.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Download requests are idempotent and have large answers.
	Download
)

// String returns the name of k in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Download:
		return "download"
	default:
		return "non_idempotent"
	}
}

// Repeatable says whether a request may run more than once.
func (k Kind) Repeatable() bool { return k != NonIdempotent }

// Part is one service of a route with its share of the requests.
type WeightedService struct {
	Service model.ServiceName
	Weight  float64
}

// Route says where the requests of a host under a path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds how long a request is kept waiting; zero means no bound.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full worth.
	TargetLatency time.Duration
	// MaxAttempts bounds the servers that one request is sent to.
	MaxAttempts int
	// Rank orders routes by urgency; zero is the most urgent.
	Rank int
	// Parts has one entry, or several of a weighted split.
	Targets []WeightedService
	// Regions lists the regions in which requests may run; empty means all.
	Regions []model.Region
	// Affinity says that servers are faster on objects they handled recently.
	Affinity bool
}

// Service is a group of backend servers that do the same work.
type Service struct {
	HealthPath     string
	MaxConnections int
	// ColdFor is how long a server stays cold after its start.
	ColdDuration time.Duration
	// ColdPerSecond is the rate that a cold server stands.
	ColdRate float64
}

// Limits bound what clients may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[model.ServiceName]Service
	Limits   Limits
}

// Server is one backend server as the store lists it.
type Server struct {
	ID      model.ServerID
	Service model.ServiceName
	Address string
	Zone    model.Zone
	Region  model.Region
	Slots   int
	// Draining servers get no new requests.
	Draining bool
	// ColdLeft is how much longer the server stays cold, counted from the
	// moment at which the entry was read.
	ColdRemaining time.Duration
	// Born is the Unix millisecond of the process's start.
	Started int64
}

// VM is the address record of an entry VM.
type VM struct {
	Name   model.VMID   `json:"name"`
	Zone   model.Zone   `json:"zone"`
	Region model.Region `json:"region"`
	// Front is where clients connect; Peer is where other entry VMs connect.
	Front string `json:"front"`
	Peer  string `json:"peer"`
	// LinkMbps and CPUShare are the VM's resources.
	LinkMbps float64 `json:"link_mbps"`
	CPUShare float64 `json:"cpu_share"`
	// Started is the Unix millisecond at which the process started.
	Started int64 `json:"started"`
}
