// Package header names the HTTP headers that callers, entry VMs and backend
// servers exchange.
package header

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers that a caller sends.
const (
	// Account names the client account.
	Account = "Fuchsiaspar-Account"
	// Priority lowers the priority of one request: urgent, normal or bulk.
	Priority = "Fuchsiaspar-Priority"
	// DeadlineMS is the time left for the request, in milliseconds.
	DeadlineMS = "Fuchsiaspar-Deadline-Ms"
	// Ticket carries the ticket of a non-idempotent request.
	Ticket = "Fuchsiaspar-Ticket"
	// Client is the IP address of the client that the caller acts for.
	Client = "Fuchsiaspar-Client"
	// LookupRevision is the revision of the look-up answer in use.
	LookupRevision = "Fuchsiaspar-Lookup-Revision"
)

// Headers of an answer.
const (
	// Outcome is ran, not-run or unknown.
	Outcome = "Fuchsiaspar-Outcome"
	// Reason is the typed reason of an outcome other than ran.
	Reason = "Fuchsiaspar-Reason"
	// Revision is the configuration revision in force at the entry VM.
	Revision = "Fuchsiaspar-Revision"
	// Request is the id under which the request can be explained.
	Request = "Fuchsiaspar-Request"
)

// Headers between entry VMs and backend servers.
const (
	// Attempt is the id of one attempt; the answer echoes it.
	Attempt = "Fuchsiaspar-Attempt"
	// NotStarted marks a refusal that proves the request did not run.
	NotStarted = "Fuchsiaspar-Not-Started"
)

// Headers between entry VMs.
const (
	// RelayOrigin is the entry VM that relays the request.
	RelayOrigin = "Fuchsiaspar-Relay-Origin"
	// RelayZone is the availability zone of the servers that shall run it.
	RelayZone = "Fuchsiaspar-Relay-Zone"
	// RelayIdempotent is true or false.
	RelayIdempotent = "Fuchsiaspar-Relay-Idempotent"
	// RelayLong is true for a transfer that holds its slot for long.
	RelayLong = "Fuchsiaspar-Relay-Long"
	// RelayExclude names a backend server that failed an earlier attempt.
	RelayExclude = "Fuchsiaspar-Relay-Exclude"
	// RelayToken carries a fresh token for later relays in an answer.
	RelayToken = "Fuchsiaspar-Relay-Token"
	// ForwardedBy is the entry VM that passed on a request with a ticket of
	// the receiving one.
	ForwardedBy = "Fuchsiaspar-Forwarded-By"
	// Server names the backend server that answered.
	Server = "Fuchsiaspar-Server"
)

// prefix starts every header of this package.
const prefix = "Fuchsiaspar-"

// hopByHop are the headers that belong to one connection (RFC 9110, 7.6.1), and
// Expect, which is answered on each.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// EndToEnd returns a copy of h without the headers of one connection. The
// values are shared.
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

// CopyEndToEnd adds to dst the headers of src that belong to the request or
// answer itself, without those of one connection or of this package.
func CopyEndToEnd(dst, src http.Header) {
	for name, values := range EndToEnd(src) {
		if !strings.HasPrefix(name, prefix) {
			dst[name] = append([]string(nil), values...)
		}
	}
}
