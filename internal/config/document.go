// Package config holds the operators' dynamic configuration: templates, client
// accounts, the shape of the deployment and planned drains. It checks changes,
// agrees on them across entry VMs and publishes immutable documents.
package config

import (
	"net/netip"
	"time"

	"fuchsiaspar/internal/model"
)

// Document is one accepted configuration. It is immutable once published.
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

// Lookup sets how callers cache look-up answers.
type Lookup struct {
	// TTL is how long a caller may use an answer.
	TTL model.Duration `json:"ttl" toml:"ttl"`
}

// Zone places an availability zone in its region.
type Zone struct {
	Name   model.Zone   `json:"name" toml:"name"`
	Region model.Region `json:"region" toml:"region"`
}

// Slot is a provisioned entry VM. A replacement VM takes over the slot. Floor
// shares of caps are divided by the count of slots.
type Slot struct {
	VM   model.VMID `json:"vm" toml:"vm"`
	Zone model.Zone `json:"zone" toml:"zone"`
}

// Link caps the traffic from one region to another.
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
	// Places lists the availability zones that run the service, in the order
	// in which traffic moves when a client's own place is lost.
	Places []model.Zone `json:"places" toml:"places"`
	Server ServerClass  `json:"server" toml:"server"`
	// Floors is the percentage of the slots that each priority keeps while it
	// has work, by name of priority.
	Floors  Floors  `json:"floors" toml:"floors"`
	Classes []Class `json:"classes" toml:"classes"`
	// QueueLimit bounds the requests that wait at one owner per priority.
	QueueLimit int `json:"queue_limit" toml:"queue_limit"`
	// RetryPercent bounds retries as a percentage of first tries.
	RetryPercent int `json:"retry_percent" toml:"retry_percent"`
	// ShiftCap is the range of an account's ShiftCap, in requests a second.
	ShiftCap Range `json:"shift_cap" toml:"shift_cap"`
	// Weight is the range of an account's Weight within one priority.
	Weight Range `json:"weight" toml:"weight"`
}

// Range bounds a parameter that an account may set.
type Range struct {
	Min     int64 `json:"min" toml:"min"`
	Max     int64 `json:"max" toml:"max"`
	Default int64 `json:"default" toml:"default"`
}

// Floors is the percentage of slots kept by each priority.
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
	// Slots is the count of requests that one server runs at once.
	Slots int `json:"slots" toml:"slots"`
	// MaxConns is the count of connections that one server accepts.
	MaxConns int `json:"max_conns" toml:"max_conns"`
	// ColdStart is how long a new server needs to reach full speed.
	ColdStart model.Duration `json:"cold_start" toml:"cold_start"`
}

// Class is a kind of request within a service, chosen by method and path.
type Class struct {
	Name string `json:"name" toml:"name"`
	// Method is an HTTP method; empty matches any.
	Method string `json:"method" toml:"method"`
	// PathPrefix matches the start of the request's path.
	PathPrefix string         `json:"path_prefix" toml:"path_prefix"`
	Priority   model.Priority `json:"priority" toml:"priority"`
	// Lowest is the least urgent priority that an account may give the class;
	// Highest the most urgent one.
	Highest    model.Priority `json:"highest" toml:"highest"`
	Lowest     model.Priority `json:"lowest" toml:"lowest"`
	Idempotent bool           `json:"idempotent" toml:"idempotent"`
	// Long marks transfers that hold a slot for long, such as large files.
	Long bool `json:"long" toml:"long"`
	// Deadline applies when the caller gives none, and is the longest allowed.
	Deadline model.Duration `json:"deadline" toml:"deadline"`
}

// Account is a client account with its parameters.
type Account struct {
	ID       model.AccountID  `json:"id" toml:"id"`
	Services []AccountService `json:"services" toml:"services"`
	Blocks   []Block          `json:"blocks" toml:"blocks"`
}

// AccountService fills in a template's parameters for one account. A nil
// parameter takes the template's default.
type AccountService struct {
	Template string `json:"template" toml:"template"`
	// ShiftCap bounds the requests a second of this account and service that
	// leave one place for others.
	ShiftCap *int64          `json:"shift_cap,omitempty" toml:"shift_cap,omitempty"`
	Weight   *int64          `json:"weight,omitempty" toml:"weight,omitempty"`
	Classes  []ClassPriority `json:"classes,omitempty" toml:"classes,omitempty"`
}

// ClassRank gives one class of requests another priority for one account.
type ClassPriority struct {
	Class    string         `json:"class" toml:"class"`
	Priority model.Priority `json:"priority" toml:"priority"`
}

// Block is a block of client addresses with the places that serve it.
type Block struct {
	Prefix netip.Prefix `json:"prefix" toml:"prefix"`
	Places []Place      `json:"places" toml:"places"`
}

// Place is an availability zone with its share of a block's traffic.
type Place struct {
	Zone   model.Zone `json:"zone" toml:"zone"`
	Weight int        `json:"weight" toml:"weight"`
}

// DrainKind says what a drain empties.
type DrainKind string

// The kinds of drains.
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
	// Account limits the drain to one client account; empty means all.
	Account model.AccountID `json:"account,omitempty" toml:"account,omitempty"`
	Start   time.Time       `json:"start" toml:"start"`
	End     time.Time       `json:"end" toml:"end"`
}

// Active reports whether the drain is in force at now.
func (d Drain) Active(now time.Time) bool {
	return !now.Before(d.Start) && now.Before(d.End)
}
