// Package peer exchanges control messages between entry VMs. Messages are encoded
// as CBOR and sent over WebSocket connections, called links. Pings detect links
// that no longer carry traffic although neither side closed them. An error tells
// whether the message may have been handled: not after ErrNoLink, possibly after
// ErrLinkLost.
package peer

import (
	"context"

	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

// Kind is the type of a control message. The numbers are part of the protocol and
// are never reused.
type Kind uint8

// Kinds of control messages, each with the package that defines its body.
const (
	KindHeartbeat      Kind = 1  // membership: heartbeat within an availability zone
	KindZoneDelta      Kind = 2  // membership: changes between availability zones
	KindProbe          Kind = 3  // membership: indirect probe
	KindGrantRequest   Kind = 10 // quota: request a grant from the lender
	KindRevoke         Kind = 20 // entry: revoke a relayed attempt
	KindConfigPropose  Kind = 30 // config: validate a proposal
	KindConfigAnnounce Kind = 31 // config: announce a higher revision
	KindConfigFetch    Kind = 32 // config: fetch the objects of a revision
	KindStatus         Kind = 40 // operator: status of an entry VM
	KindExplain        Kind = 41 // operator: recent decisions of an entry VM
	KindServers        Kind = 50 // servers: changes of the VM list from the reader of an availability zone
	KindServerFetch    Kind = 51 // servers: fetch the whole VM list
	KindToken          Kind = 22 // entry: request a token for relayed attempts
	KindSeal           Kind = 21 // entry: seal a ticket
	KindGossip         Kind = 60 // liveness: gossip about heartbeats of entry VMs
	KindFeed           Kind = 61 // feed: changes of the store since a revision
	KindAccountUses    Kind = 63 // accountlimit: requests of client accounts at a VM
	KindLoads          Kind = 62 // share: requests of a VM in flight at each backend server
)

// Errors that Links return. Test for them with errors.Is.
var (
	// ErrNoLink reports that the message was not sent, since the VM has no known
	// address, no working link or a full queue.
	ErrNoLink = errors.New("peer: no link")
	// ErrLinkLost reports that the link ended before the reply; the call may have
	// been handled.
	ErrLinkLost = errors.New("peer: link lost")
	// ErrNoHandler reports that the remote VM has no handler for the kind.
	ErrNoHandler = errors.New("peer: no handler")
	// ErrRemote reports that the remote handler failed.
	ErrRemote = errors.New("peer: remote error")
)

// Handler handles one control message from another VM. body is CBOR. The returned
// value is the reply, encoded as CBOR; it is ignored for one-way messages. Unless
// registered with HandleSlow, a Handler runs on the goroutine that reads the link
// and must not block.
type Handler func(ctx context.Context, from model.VMID, body []byte) (any, error)

// Links sends control messages to other entry VMs and dispatches received messages
// to handlers by kind.
type Links interface {
	// Handle registers h for kind. It is called before the links start.
	Handle(kind Kind, h Handler)
	// HandleSlow registers h for kind, to run on a separate goroutine.
	HandleSlow(kind Kind, h Handler)
	// Send queues a one-way message without waiting. It returns ErrNoLink if the
	// VM has no known address or its queue is full.
	Send(to model.VMID, kind Kind, body any) error
	// Call sends a request, waits for the reply and decodes it into reply, unless
	// reply is nil.
	Call(ctx context.Context, to model.VMID, kind Kind, body, reply any) error
	// SetAddress sets the address of a VM's peer endpoint, as host:port.
	SetAddress(vm model.VMID, address string)
	// Drop closes the links to vm, for example when it was declared dead.
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
	KindAccountUses:    "account_uses",
}

// String returns the name of k in metrics. Replies and pings have kind zero, named
// "link"; kinds without a name are "unknown".
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	if k == 0 {
		return "link"
	}
	return "unknown"
}
