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
	"fuchsiaspar/internal/fullduplex"
	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/intake"
	"fuchsiaspar/internal/model"
)

// RequestPath is the path prefix of callers' requests. The service and the path at the
// backend server follow.
const RequestPath = "/v1/requests/"

// request is a validated request of a caller.
type request struct {
	id       model.AttemptID
	state    *State
	account  model.AccountID
	service  model.ServiceName
	class    config.Class
	priority model.Priority
	deadline time.Time
	client   netip.Addr
	// homePlaces lists the places that serve the client, nearest first.
	homePlaces []config.Place
	// region is the region of the client.
	region model.Region
	ticket string
	method string
	// path is the path at the backend server, with the query.
	path   string
	header http.Header
	body   *replayableBody
}

// Failure is the error of a request that has no complete response.
type Failure struct {
	Outcome model.Outcome
	Reason  model.Reason
	// Status is the HTTP status of the response to the caller.
	Status int
	// Message explains the failure and what the caller can do.
	Message string

	// server is the backend server that the request was sent to, if any.
	server model.ServerID
}

// Error returns the outcome, the reason and the message.
func (f *Failure) Error() string {
	return f.Outcome.String() + ": " + string(f.Reason) + ": " + f.Message
}

// notRun returns a Failure of a request that did not run.
func notRun(status int, reason model.Reason, message string) *Failure {
	return &Failure{Outcome: model.OutcomeNotRun, Reason: reason, Status: status, Message: message}
}

// requestIDBytes is the number of random bytes in a request identifier.
const requestIDBytes = 12

func newRequestID() model.AttemptID {
	var raw [requestIDBytes]byte
	_, _ = rand.Read(raw[:])
	return model.AttemptID(hex.EncodeToString(raw[:]))
}

// parseRequest validates a caller's request against the current configuration.
func (s *Server) parseRequest(r *http.Request, upload *fullduplex.Body) (*request, *Failure) {
	state := s.source.State()
	if state == nil || state.Config == nil {
		return nil, notRun(http.StatusServiceUnavailable, model.ReasonNoConfig, "no configuration yet; try another entry VM")
	}
	if n := headerSize(r.Header); n > s.options.MaxHeaderBytes {
		return nil, notRun(http.StatusRequestHeaderFieldsTooLarge, model.ReasonTooLarge, "the header is larger than "+strconv.Itoa(s.options.MaxHeaderBytes)+" bytes")
	}
	q := &request{id: newRequestID(), state: state, method: r.Method, ticket: r.Header.Get(header.Ticket)}
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
	s.locateClient(q)
	body := s.rateLimited(r.Context(), upload, q.region, s.options.Region, q.priority)
	q.body = newReplayableBody(body, intake.FromContext(r.Context()), r.ContentLength, s.options.MaxReplayBytes, upload.Forward)
	return q, nil
}

// headerSize returns the total size of the header names and values in bytes.
func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// locateClient sets the region of the client and the places that serve it. A client
// whose address is in no configured block counts as in this VM's region.
func (s *Server) locateClient(q *request) {
	q.region = s.options.Region
	result, ok := q.state.Table.Lookup(q.client, q.account, q.service)
	if ok && result.BlockMatched {
		q.region = result.ClientZone.Region
	}
	if ok && len(result.Places) > 0 {
		q.homePlaces = result.Places
		return
	}
	q.homePlaces = []config.Place{{Zone: s.options.Zone, Weight: 1}}
}

func (q *request) parsePath(r *http.Request) *Failure {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), RequestPath)
	service, path, ok := strings.Cut(rest, "/")
	if !ok || service == "" {
		return notRun(http.StatusBadRequest, model.ReasonMalformed, "the path must be "+RequestPath+"{service}/{path}")
	}
	q.service = model.ServiceName(service)
	if _, known := q.state.Config.Template(q.service); !known {
		return notRun(http.StatusNotFound, model.ReasonUnknownService, "no template describes service "+service)
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
		return notRun(http.StatusBadRequest, model.ReasonMalformed, "header "+header.Account+" is missing")
	}
	path, _, _ := strings.Cut(q.path, "?")
	class, ok := q.state.Config.Classify(q.account, q.service, q.method, path)
	if !ok {
		return q.classificationFailure()
	}
	q.class = class
	return nil
}

// classificationFailure explains why no class matches the request.
func (q *request) classificationFailure() *Failure {
	if _, known := q.state.Config.Account(q.account); !known {
		return notRun(http.StatusForbidden, model.ReasonUnknownAccount, "no client account is called "+string(q.account))
	}
	return notRun(http.StatusForbidden, model.ReasonUnknownService, "the account doesn't use this service, or no class matches the method and path")
}

// parsePriority sets the priority. The caller may only lower the priority of the class.
func (q *request) parsePriority(r *http.Request) *Failure {
	q.priority = q.class.Priority
	text := r.Header.Get(header.Priority)
	if text == "" {
		return nil
	}
	p, err := model.ParsePriority(text)
	if err != nil {
		return notRun(http.StatusBadRequest, model.ReasonMalformed, header.Priority+": "+err.Error())
	}
	q.priority = max(q.priority, p)
	return nil
}

// parseDeadline sets the deadline. The caller may only shorten that of the class.
func (q *request) parseDeadline(r *http.Request) *Failure {
	limit := q.class.Deadline.Std()
	text := r.Header.Get(header.DeadlineMS)
	if text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return notRun(http.StatusBadRequest, model.ReasonMalformed, header.DeadlineMS+": want a positive count of milliseconds")
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	q.deadline = time.Now().Add(limit)
	return nil
}

// parseClient sets the client's address, by default that of the connection.
func (q *request) parseClient(r *http.Request) *Failure {
	text := r.Header.Get(header.Client)
	if text == "" {
		text, _, _ = net.SplitHostPort(r.RemoteAddr)
	}
	addr, err := netip.ParseAddr(text)
	if err != nil {
		return notRun(http.StatusBadRequest, model.ReasonMalformed, header.Client+": want an IP number")
	}
	q.client = addr.Unmap()
	return nil
}
