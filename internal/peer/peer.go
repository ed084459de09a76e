// Package peer carries control messages between entry VMs over WebSocket
// links, encoded as CBOR. It notices silent links by heartbeats.
package peer

import (
	"context"

	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

// Kind names a type of control message. The numbers are part of the protocol
// and are never reused.
type Kind uint8

// The kinds of control messages, by the package that owns their bodies.
const (
	KindHeartbeat      Kind = 1  // membership: within one zone
	KindZoneDelta      Kind = 2  // membership: between zones
	KindProbe          Kind = 3  // membership: indirect probe
	KindGrantRequest   Kind = 10 // quota: ask the lender for a grant
	KindRevoke         Kind = 20 // entry: revoke a relayed attempt
	KindConfigPropose  Kind = 30 // config: validate a proposal
	KindConfigAnnounce Kind = 31 // config: a higher revision exists
	KindConfigFetch    Kind = 32 // config: fetch objects of a revision
	KindStatus         Kind = 40 // operator: status of one entry VM
	KindExplain        Kind = 41 // operator: recent decisions of one entry VM
	KindServers        Kind = 50 // servers: changes of the VM list at a zone's reader
	KindServerFetch    Kind = 51 // servers: fetch the whole VM list
	KindToken          Kind = 22 // entry: token for relayed attempts
	KindSeal           Kind = 21 // entry: seal a ticket
	KindGossip         Kind = 60 // liveness: heartbeats of entry VMs
	KindFeed           Kind = 61 // feed: changes of the store after a revision
	KindLoads          Kind = 62 // share: requests of a VM at each server
)

// Errors that Links return. Test for them with errors.Is.
var (
	// ErrNoLink reports that no address or no working link to the VM exists;
	// nothing was sent.
	ErrNoLink = errors.New("peer: no link")
	// ErrLinkLost reports that the link ended before a reply; the call may
	// have been handled.
	ErrLinkLost = errors.New("peer: link lost")
	// ErrNoHandler reports a kind that the remote side does not handle.
	ErrNoHandler = errors.New("peer: no handler")
	// ErrRemote reports that the remote handler failed.
	ErrRemote = errors.New("peer: remote error")
)

// Handler answers one control message. body is CBOR; the returned value is
// encoded as CBOR, nil for one-way messages. A Handler must not block for
// long: it runs on the link's reader unless registered with HandleSlow.
type Handler func(ctx context.Context, from model.VMID, body []byte) (any, error)

// Links sends control messages to other entry VMs and hands received ones to
// handlers by kind.
type Links interface {
	// Handle registers h for kind. It is called before the links start.
	Handle(kind Kind, h Handler)
	// HandleSlow registers h for kind, to run on a goroutine of its own.
	HandleSlow(kind Kind, h Handler)
	// Send queues a one-way message and does not wait. It returns ErrNoLink
	// when the VM has no known address or its bounded queue is full.
	Send(to model.VMID, kind Kind, body any) error
	// Call sends a message and decodes the reply into reply.
	Call(ctx context.Context, to model.VMID, kind Kind, body, reply any) error
	// SetAddress tells the links where a VM's peer endpoint is, as host:port.
	SetAddress(vm model.VMID, address string)
	// Drop closes the links to vm, as when membership declared it dead.
	Drop(vm model.VMID)
}

var kindNames = map[Kind]string{
	KindHeartbeat:      "heartbeat",
	KindZoneDelta:      "zone_delta",
	KindProbe:          "probe",
	KindGrantRequest:   "grant_request",
	KindRevoke:         "revoke",
	KindConfigPropose:  "config_propose",
	KindConfigAnnounce: "config_announce",
	KindConfigFetch:    "config_fetch",
	KindStatus:         "status",
	KindGossip:         "gossip",
	KindFeed:           "feed",
	KindLoads:          "loads",
}

// String returns the name of k that counters carry. Replies and pings have no
// kind and count as "link".
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	if k == 0 {
		return "link"
	}
	return "unknown"
}
