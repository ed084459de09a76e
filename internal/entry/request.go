package entry

import (
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/model"
)

// RequestPath is the prefix of the paths that callers send requests to; the
// service and the backend server's path follow.
const RequestPath = "/v1/requests/"

// request is one checked request of a caller.
type request struct {
	id       model.AttemptID
	state    *State
	account  model.AccountID
	service  model.ServiceName
	class    config.Class
	priority model.Priority
	deadline time.Time
	client   netip.Addr
	// home lists the places that serve the client, nearest first.
	home []config.Place
	// region is where the client is.
	region model.Region
	ticket string
	method string
	// path is the backend server's path with the query.
	path   string
	header http.Header
	body   *replayBody
}

// Failure is the end of a request that has no whole answer. It is an error.
type Failure struct {
	Outcome model.Outcome
	Reason  model.Reason
	// Status is the HTTP status of the answer.
	Status int
	// Message says what to do next.
	Message string

	// server is the backend server that was asked, if any.
	server model.ServerID
}

// Error returns the outcome and reason as text.
func (f *Failure) Error() string {
	return f.Outcome.String() + ": " + string(f.Reason) + ": " + f.Message
}

func refuse(status int, reason model.Reason, message string) *Failure {
	return &Failure{Outcome: model.OutcomeNotRun, Reason: reason, Status: status, Message: message}
}

// idBytes is the count of random bytes in a request id.
const idBytes = 12

func newID() model.AttemptID {
	var raw [idBytes]byte
	_, _ = rand.Read(raw[:])
	return model.AttemptID(hex.EncodeToString(raw[:]))
}

// parse checks what the caller sent against the configuration in force.
func (s *Server) parse(r *http.Request) (*request, *Failure) {
	state := s.source.State()
	if state == nil || state.Config == nil {
		return nil, refuse(http.StatusServiceUnavailable, model.ReasonNoConfig, "no configuration yet; try another entry VM")
	}
	if n := headerBytes(r.Header); n > s.options.MaxHeaderBytes {
		return nil, refuse(http.StatusRequestHeaderFieldsTooLarge, model.ReasonTooLarge, "the header is larger than "+strconv.Itoa(s.options.MaxHeaderBytes)+" bytes")
	}
	q := &request{id: newID(), state: state, method: r.Method, ticket: r.Header.Get(header.Ticket)}
	if f := q.parsePath(r); f != nil {
		return nil, f
	}
	if f := q.parseAccount(r); f != nil {
		return nil, f
	}
	if f := q.parsePriority(r); f != nil {
		return nil, f
	}
	if f := q.parseDeadline(r); f != nil {
		return nil, f
	}
	if f := q.parseClient(r); f != nil {
		return nil, f
	}
	q.header = make(http.Header, len(r.Header))
	header.CopyEndToEnd(q.header, r.Header)
	s.locate(q)
	body := s.paced(r.Context(), r.Body, q.region, s.options.Region, q.priority)
	q.body = newReplayBody(body, r.ContentLength, s.options.MaxReplayBytes)
	return q, nil
}

// headerBytes returns the size of a header's names and values.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// locate finds the places that serve the client and the region it is in. A
// client outside all blocks counts as one of this region.
func (s *Server) locate(q *request) {
	q.region = s.options.Region
	a, ok := q.state.Table.Lookup(q.client, q.account, q.service)
	if ok && a.BlockMatched {
		q.region = a.ClientZone.Region
	}
	if ok && len(a.Places) > 0 {
		q.home = a.Places
		return
	}
	q.home = []config.Place{{Zone: s.options.Zone, Weight: 1}}
}

func (q *request) parsePath(r *http.Request) *Failure {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), RequestPath)
	service, path, ok := strings.Cut(rest, "/")
	if !ok || service == "" {
		return refuse(http.StatusBadRequest, model.ReasonMalformed, "the path must be "+RequestPath+"{service}/{path}")
	}
	q.service = model.ServiceName(service)
	if _, known := q.state.Config.Template(q.service); !known {
		return refuse(http.StatusNotFound, model.ReasonUnknownService, "no template describes service "+service)
	}
	q.path = "/" + path
	if r.URL.RawQuery != "" {
		q.path += "?" + r.URL.RawQuery
	}
	return nil
}

func (q *request) parseAccount(r *http.Request) *Failure {
	q.account = model.AccountID(r.Header.Get(header.Account))
	if q.account == "" {
		return refuse(http.StatusBadRequest, model.ReasonMalformed, "header "+header.Account+" is missing")
	}
	path, _, _ := strings.Cut(q.path, "?")
	class, ok := q.state.Config.Classify(q.account, q.service, q.method, path)
	if !ok {
		return q.unclassified()
	}
	q.class = class
	return nil
}

func (q *request) unclassified() *Failure {
	if _, known := q.state.Config.Account(q.account); !known {
		return refuse(http.StatusForbidden, model.ReasonUnknownAccount, "no client account is called "+string(q.account))
	}
	return refuse(http.StatusForbidden, model.ReasonUnknownService, "the account doesn't use this service, or no class matches the method and path")
}

func (q *request) parsePriority(r *http.Request) *Failure {
	q.priority = q.class.Priority
	text := r.Header.Get(header.Priority)
	if text == "" {
		return nil
	}
	p, err := model.ParsePriority(text)
	if err != nil {
		return refuse(http.StatusBadRequest, model.ReasonMalformed, header.Priority+": "+err.Error())
	}
	q.priority = max(q.priority, p)
	return nil
}

func (q *request) parseDeadline(r *http.Request) *Failure {
	limit := q.class.Deadline.Std()
	text := r.Header.Get(header.DeadlineMS)
	if text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return refuse(http.StatusBadRequest, model.ReasonMalformed, header.DeadlineMS+": want a positive count of milliseconds")
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	q.deadline = time.Now().Add(limit)
	return nil
}

func (q *request) parseClient(r *http.Request) *Failure {
	text := r.Header.Get(header.Client)
	if text == "" {
		text, _, _ = net.SplitHostPort(r.RemoteAddr)
	}
	addr, err := netip.ParseAddr(text)
	if err != nil {
		return refuse(http.StatusBadRequest, model.ReasonMalformed, header.Client+": want an IP number")
	}
	q.client = addr.Unmap()
	return nil
}
