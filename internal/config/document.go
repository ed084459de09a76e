// Package config manages the operators' dynamic configuration: templates,
// client accounts, the topology of the deployment and planned drains.
//
// A change is validated, acknowledged by every live entry VM and then committed
// by a conditional write of a single key, the head, in the platform's store.
// Each commit creates a revision. Every entry VM follows the head, directly or
// through a peer, and publishes the active revision as an immutable Snapshot.
// An entry VM is confirmed as long as it has recent evidence that its active
// revision is the latest.
package config

import (
	"net/netip"
	"time"

	"fuchsiaspar/internal/model"
)

// Document is the configuration of one revision. It is immutable once
// published.
type Document struct {
	Revision  model.Revision `json:"revision" toml:"revision"`
	Lookup    Lookup         `json:"lookup" toml:"lookup"`
	Zones     []Zone         `json:"zones" toml:"zones"`
	Slots     []Slot         `json:"slots" toml:"slots"`
	Links     []Link         `json:"links" toml:"links"`
	Templates []Template     `json:"templates" toml:"templates"`
	Accounts  []Account      `json:"accounts" toml:"accounts"`
	Drains    []Drain        `json:"drains" toml:"drains"`
}

// Lookup sets how callers cache answers to lookups.
type Lookup struct {
	// TTL is how long a caller may use an answer, 100 ms to 5 min.
	TTL model.Duration `json:"ttl" toml:"ttl"`
}

// Zone assigns an availability zone to its region.
type Zone struct {
	Name   model.Zone   `json:"name" toml:"name"`
	Region model.Region `json:"region" toml:"region"`
}

// Slot is a provisioned entry VM. A replacement VM takes over the slot. The
// floor shares of caps are divided by the number of slots.
type Slot struct {
	VM   model.VMID `json:"vm" toml:"vm"`
	Zone model.Zone `json:"zone" toml:"zone"`
}

// Link limits the traffic from one region to another.
type Link struct {
	From           model.Region `json:"from" toml:"from"`
	To             model.Region `json:"to" toml:"to"`
	BytesPerSecond int64        `json:"bytes_per_second" toml:"bytes_per_second"`
}

// Template describes one kind of service and the ranges within which a client
// account may set its parameters.
type Template struct {
	Name    string            `json:"name" toml:"name"`
	Service model.ServiceName `json:"service" toml:"service"`
	// Places lists the availability zones that run the service, in the order in
	// which traffic moves if a client's own zone is lost.
	Places []model.Zone `json:"places" toml:"places"`
	Server ServerClass  `json:"server" toml:"server"`
	// Floors is the percentage of server slots reserved for each priority while
	// it has work.
	Floors  Floors  `json:"floors" toml:"floors"`
	Classes []Class `json:"classes" toml:"classes"`
	// QueueLimit bounds the waiting requests per owner and priority.
	QueueLimit int `json:"queue_limit" toml:"queue_limit"`
	// RetryPercent bounds retries as a percentage of first attempts.
	RetryPercent int `json:"retry_percent" toml:"retry_percent"`
	// ShiftCap is the allowed range of AccountService.ShiftCap, in requests per
	// second.
	ShiftCap Range `json:"shift_cap" toml:"shift_cap"`
	// Weight is the allowed range of AccountService.Weight, which sets the
	// account's share within one priority.
	Weight Range `json:"weight" toml:"weight"`
}

// Range limits a parameter that an account may set.
type Range struct {
	Min     int64 `json:"min" toml:"min"`
	Max     int64 `json:"max" toml:"max"`
	Default int64 `json:"default" toml:"default"`
}

// Floors is the percentage of server slots reserved for each priority. The sum
// is at most 100.
type Floors struct {
	Urgent int `json:"urgent" toml:"urgent"`
	Normal int `json:"normal" toml:"normal"`
	Bulk   int `json:"bulk" toml:"bulk"`
}

// Percent returns the floor of priority p in percent of the slots.
func (f Floors) Percent(p model.Priority) int {
	switch p {
	case model.PriorityUrgent:
		return f.Urgent
	case model.PriorityNormal:
		return f.Normal
	default:
		return f.Bulk
	}
}

// ServerClass describes the backend servers of a service.
type ServerClass struct {
	// Slots is the number of requests that one server runs at a time.
	Slots int `json:"slots" toml:"slots"`
	// MaxConns is the number of connections that one server accepts.
	MaxConns int `json:"max_conns" toml:"max_conns"`
	// ColdStart is how long a new server takes to reach full speed.
	ColdStart model.Duration `json:"cold_start" toml:"cold_start"`
}

// Class is a kind of request within a service, selected by method and path.
type Class struct {
	Name string `json:"name" toml:"name"`
	// Method is an HTTP method. Empty matches any.
	Method string `json:"method" toml:"method"`
	// PathPrefix is the prefix of the request paths that the class matches.
	PathPrefix string         `json:"path_prefix" toml:"path_prefix"`
	Priority   model.Priority `json:"priority" toml:"priority"`
	// Highest and Lowest are the most and the least urgent priority that an
	// account may assign to the class.
	Highest    model.Priority `json:"highest" toml:"highest"`
	Lowest     model.Priority `json:"lowest" toml:"lowest"`
	Idempotent bool           `json:"idempotent" toml:"idempotent"`
	// Long marks transfers that occupy a slot for a long time, such as large
	// files.
	Long bool `json:"long" toml:"long"`
	// Deadline is the default deadline of a request and the longest that a
	// caller may set.
	Deadline model.Duration `json:"deadline" toml:"deadline"`
}

// Account is a client account with its parameters.
type Account struct {
	ID       model.AccountID  `json:"id" toml:"id"`
	Services []AccountService `json:"services" toml:"services"`
	Blocks   []Block          `json:"blocks" toml:"blocks"`
}

// AccountService sets the parameters of a template for one account. A nil
// parameter takes the template's default.
type AccountService struct {
	Template string `json:"template" toml:"template"`
	// ShiftCap bounds the requests per second of this account and service that
	// are shifted from one zone to others.
	ShiftCap *int64          `json:"shift_cap,omitempty" toml:"shift_cap,omitempty"`
	Weight   *int64          `json:"weight,omitempty" toml:"weight,omitempty"`
	Classes  []ClassPriority `json:"classes,omitempty" toml:"classes,omitempty"`
}

// ClassPriority overrides the priority of one class of requests for an account.
type ClassPriority struct {
	Class    string         `json:"class" toml:"class"`
	Priority model.Priority `json:"priority" toml:"priority"`
}

// Block is a block of client addresses and the zones that serve it.
type Block struct {
	Prefix netip.Prefix `json:"prefix" toml:"prefix"`
	Places []Place      `json:"places" toml:"places"`
}

// Place is an availability zone with its relative weight in the traffic of a
// block.
type Place struct {
	Zone   model.Zone `json:"zone" toml:"zone"`
	Weight int        `json:"weight" toml:"weight"`
}

// DrainKind is the kind of target that a drain empties.
type DrainKind string

// Kinds of drains.
const (
	DrainServer DrainKind = "server"
	DrainEntry  DrainKind = "entry"
	DrainZone   DrainKind = "zone"
	DrainRegion DrainKind = "region"
)

// Drain is a planned drain. Each entry VM compares Start and End with its own
// wall clock.
type Drain struct {
	ID     string    `json:"id" toml:"id"`
	Kind   DrainKind `json:"kind" toml:"kind"`
	Target string    `json:"target" toml:"target"`
	// Account limits the drain to one client account. Empty means all accounts.
	Account model.AccountID `json:"account,omitempty" toml:"account,omitempty"`
	Start   time.Time       `json:"start" toml:"start"`
	End     time.Time       `json:"end" toml:"end"`
}

// Active reports whether now is within [Start, End).
func (d Drain) Active(now time.Time) bool {
	return !now.Before(d.Start) && now.Before(d.End)
}
