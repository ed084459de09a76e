// Package header defines the names of the HTTP headers exchanged between callers,
// entry VMs and backend servers, and copies headers from one hop to the next.
package header

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Request headers sent by a caller.
const (
	// Account names the client account.
	Account = "Fuchsiaspar-Account"
	// Priority lowers the priority of the request: urgent, normal or bulk.
	Priority = "Fuchsiaspar-Priority"
	// DeadlineMS is the time left for the request, in milliseconds.
	DeadlineMS = "Fuchsiaspar-Deadline-Ms"
	// Ticket carries the ticket of a non-idempotent request.
	Ticket = "Fuchsiaspar-Ticket"
	// Client is the IP address of the client on whose behalf the caller acts.
	Client = "Fuchsiaspar-Client"
	// LookupRevision is the revision of the look-up answer that the caller uses.
	LookupRevision = "Fuchsiaspar-Lookup-Revision"
)

// Response headers sent to a caller.
const (
	// Outcome is ran, not-run or unknown.
	Outcome = "Fuchsiaspar-Outcome"
	// Reason is the reason (a model.Reason) of an outcome other than ran.
	Reason = "Fuchsiaspar-Reason"
	// Revision is the configuration revision in force at the entry VM.
	Revision = "Fuchsiaspar-Revision"
	// Request is the id with which an operator can query the decisions about the
	// request.
	Request = "Fuchsiaspar-Request"
)

// Headers between entry VMs and backend servers.
const (
	// Attempt is the id of the attempt. The response must carry the same id.
	Attempt = "Fuchsiaspar-Attempt"
	// NotStarted marks a refusal and proves that the request did not run.
	NotStarted = "Fuchsiaspar-Not-Started"
)

// Headers between entry VMs.
const (
	// RelayOrigin names the entry VM that relays the request.
	RelayOrigin = "Fuchsiaspar-Relay-Origin"
	// RelayZone is the availability zone of the servers that may run the request.
	RelayZone = "Fuchsiaspar-Relay-Zone"
	// RelayIdempotent says whether the request is idempotent: true or false.
	RelayIdempotent = "Fuchsiaspar-Relay-Idempotent"
	// RelayLong is true for a long transfer, which occupies its slot for long.
	RelayLong = "Fuchsiaspar-Relay-Long"
	// RelayExclude names a backend server that failed an earlier attempt.
	RelayExclude = "Fuchsiaspar-Relay-Exclude"
	// RelayToken is a response header with a new token for later relays.
	RelayToken = "Fuchsiaspar-Relay-Token"
	// ForwardedBy names the entry VM that forwarded a request to the entry VM
	// that issued its ticket.
	ForwardedBy = "Fuchsiaspar-Forwarded-By"
	// Server names the backend server that responded.
	Server = "Fuchsiaspar-Server"
)

// prefix is common to all headers of this package.
const prefix = "Fuchsiaspar-"

// hopByHop lists the headers that apply to a single connection (RFC 9110, section
// 7.6.1), and Expect, which each hop answers itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// EndToEnd returns a copy of h without hop-by-hop headers, including those listed
// in the Connection header. The value slices are shared with h.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		out[name] = values
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}

// CopyEndToEnd sets in dst the end-to-end headers of src, except those of this
// package. The values are copied.
func CopyEndToEnd(dst, src http.Header) {
	for name, values := range EndToEnd(src) {
		if !strings.HasPrefix(name, prefix) {
			dst[name] = append([]string(nil), values...)
		}
	}
}
