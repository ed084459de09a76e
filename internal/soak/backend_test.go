package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"fuchsiaspar/platform"
	"fuchsiaspar/platform/storetest"
)

// execution is one execution of a request by a backend server.
type execution struct {
	at time.Time
	// account is the account that the VM named, and region that of the server.
	account, region string
}

// executionLog records which requests were executed, over all backend servers.
type executionLog struct {
	mu sync.Mutex
	// byID is keyed by request ID.
	byID map[string][]execution
	// leaks are requests that reached a server with a client's key.
	leaks []string
}

// add records the execution of r by a server in region.
func (l *executionLog) add(r *http.Request, region string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := r.Header.Get(platform.HeaderRequestID)
	account := strings.Join(r.Header.Values(platform.HeaderAccount), ",")
	l.byID[id] = append(l.byID[id], execution{time.Now(), account, region})
}

// checkKeys records r as a leak if any of its headers or its target contains a key.
func (l *executionLog) checkKeys(r *http.Request) {
	_, leaked := r.Header[platform.HeaderKey]
	for name, values := range r.Header {
		leaked = leaked || strings.Contains(strings.ToLower(name+strings.Join(values, ",")), keyMark)
	}
	if leaked || strings.Contains(strings.ToLower(r.RequestURI), keyMark) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.leaks = append(l.leaks, r.Header.Get(platform.HeaderRequestID))
	}
}

func (l *executionLog) get(id string) []execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byID[id]
}

// responseFault is what a server does in place of a proper response to a request
// that it has executed.
type responseFault int

const (
	// responseReset resets the connection.
	responseReset responseFault = iota
	// responseBrokenOff resets the connection after half of the body.
	responseBrokenOff
	// responseDoubled sends the response a second time a little later.
	responseDoubled
	// responseEndlessHeader and responseEndlessBody send bytes until the VM closes.
	responseEndlessHeader
	responseEndlessBody
	responseFaultCount
	// The faults below are drawn apart from the others, so that each seed plays the same
	// ones as before they were added.

	// responseThenRefusal sends the response, and an extra refusal that names no request
	// before it executes the next request on the connection.
	responseThenRefusal
	// responseCutHead closes the connection in the middle of the header.
	responseCutHead
)

// backend is a backend server behind a fault-injecting proxy. It can spoil the
// response of an executed request and refuse requests without executing them.
type backend struct {
	service    string
	zone       string
	region     string
	server     *httptest.Server
	proxy      *proxy
	executions *executionLog
	store      *storetest.Store

	// registration is held while the entry in the store is written; entry is its text.
	registration sync.Mutex
	entry        []byte

	mu sync.Mutex
	// started is the start of the simulated process in Unix milliseconds.
	started int64
	// instanceID identifies the simulated process and changes on each restart.
	instanceID string
	// sequence is the sequence number of the last store entry.
	sequence int
	random   *rand.Rand
	// spoilRate and refusalRate are fractions of requests, from 0 to 1.
	spoilRate, refusalRate float64
	responseFault          responseFault
	// statements are headers that the server adds to all its responses.
	statements http.Header
	// lastRequestAt is when the last request arrived. Requests that expect another
	// instance do not count.
	lastRequestAt time.Time
	// requestCount counts the same requests.
	requestCount int
}

// startBackend starts a backend server and its proxy, and registers it as ready.
func startBackend(t *testing.T, store *storetest.Store, executions *executionLog, service string, index int, seed uint64) *backend {
	b := &backend{
		service: service, executions: executions, store: store, instanceID: fmt.Sprintf("i-%s-%d", service, index),
		random: rand.New(rand.NewPCG(seed, uint64(index))), started: time.Now().UnixMilli(),
	}
	b.zone, b.region = "z1", "r"
	if index == serversPerService-1 {
		b.zone, b.region = "z2", farRegion
	}
	b.server = httptest.NewServer(b)
	t.Cleanup(func() {
		b.server.CloseClientConnections()
		b.server.Close()
	})
	b.proxy = startProxy(t, b.server.Listener.Addr().String())
	b.register("ready")
	return b
}

// register writes the server's entry with the given state to the store.
func (b *backend) register(state string) {
	b.registration.Lock()
	defer b.registration.Unlock()
	b.mu.Lock()
	b.sequence++
	instanceID, sequence, started := b.instanceID, b.sequence, b.started
	b.mu.Unlock()
	b.entry = fmt.Appendf(nil,
		`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":3},"status":{"state":%q,"sequence":%d,"cold_left_ms":0}}`,
		b.proxy.address(), started, b.service, b.zone, state, sequence)
	b.store.Put(platform.PrefixServers+instanceID, b.entry)
}

// restart simulates a process restart: the entry is deleted, all connections are
// closed, and a new instance registers at the same address.
func (b *backend) restart(generation int) {
	b.store.Delete(platform.PrefixServers + b.currentInstance())
	b.server.CloseClientConnections()
	b.mu.Lock()
	b.instanceID = fmt.Sprintf("i-%s-new-%d", b.service, generation)
	b.started, b.sequence = time.Now().UnixMilli(), 0
	b.mu.Unlock()
	b.register("ready")
}

// currentInstance returns the ID of the running instance.
func (b *backend) currentInstance() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.instanceID
}

// lastRequestTime returns when the last request for this server arrived.
func (b *backend) lastRequestTime() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastRequestAt
}

// requests returns how many requests for this server arrived.
func (b *backend) requests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requestCount
}

// setFaultRates sets which fractions of requests, from 0 to 1, get f in place of
// their response or are refused.
func (b *backend) setFaultRates(f responseFault, spoilRate, refusalRate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.responseFault, b.spoilRate, b.refusalRate = f, spoilRate, refusalRate
}

// setStatements sets the headers that the server adds to all its responses.
func (b *backend) setStatements(h http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.statements = h
}

// state adds the current statements to the header of a response.
func (b *backend) state(h http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.Copy(h, b.statements)
}

// drawOutcome records a request that arrived at now and randomly decides whether
// its response is spoiled, whether it is refused, and how long it takes.
func (b *backend) drawOutcome(now time.Time) (spoil, refuse bool, processingTime time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastRequestAt = now
	b.requestCount++
	return b.random.Float64() < b.spoilRate, b.random.Float64() < b.refusalRate, time.Duration(5+b.random.IntN(60)) * time.Millisecond
}

// responseBody returns the complete response body expected for a request.
func responseBody(requestID string) string { return "body of " + requestID + "\n" }

// ServeHTTP executes a request, unless it expects another instance or is refused.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	requestID := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, requestID)
	b.state(w.Header())
	b.executions.checkKeys(r)
	if expect := r.Header.Get(platform.HeaderExpectedInstance); expect != "" && expect != b.currentInstance() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	spoil, refuse, processingTime := b.drawOutcome(time.Now())
	if refuse {
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.executions.add(r, b.region)
	time.Sleep(processingTime)
	if spoil {
		b.spoilResponse(w, requestID)
		return
	}
	w.Header().Set(platform.HeaderSeal, "seal of "+requestID)
	// A write error means that the client has disconnected.
	_, _ = io.WriteString(w, responseBody(requestID))
}

// spoilResponse does what the current fault says in place of a response.
func (b *backend) spoilResponse(w http.ResponseWriter, requestID string) {
	b.mu.Lock()
	f := b.responseFault
	b.mu.Unlock()
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	body := responseBody(requestID)
	header := responseHeader(requestID)
	whole := wholeResponse(requestID)
	switch f {
	case responseBrokenOff:
		_, _ = io.WriteString(conn, whole[:len(whole)-len(body)/2])
	case responseCutHead:
		_, _ = io.WriteString(conn, header[:len(header)-lateCut])
		return
	case responseDoubled:
		_, _ = io.WriteString(conn, whole)
		time.Sleep(lateCopyDelay)
		_, _ = io.WriteString(conn, whole)
		time.Sleep(lateCopyDelay)
	case responseThenRefusal:
		_, _ = io.WriteString(conn, whole)
		b.refuseBeforeNext(conn)
	case responseEndlessHeader:
		writeEndlessly(conn, header+"A: ")
	case responseEndlessBody:
		writeEndlessly(conn, header+"\r\n")
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// responseHeader returns the header of a response without its length.
func responseHeader(requestID string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal of %s\r\n",
		platform.HeaderRequestID, requestID, platform.HeaderSeal, requestID)
}

func wholeResponse(requestID string) string {
	body := responseBody(requestID)
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", responseHeader(requestID), len(body), body)
}

// refuseBeforeNext waits for the next request on a connection, sends a refusal that names no
// request, and then executes the request and responds to it.
func (b *backend) refuseBeforeNext(conn net.Conn) {
	if err := conn.SetDeadline(time.Now().Add(nextRequestWait)); err != nil {
		return
	}
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil || r.Header.Get(platform.HeaderExpectedInstance) != b.currentInstance() {
		return
	}
	requestID := r.Header.Get(platform.HeaderRequestID)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", platform.HeaderNotExecuted)
	b.executions.checkKeys(r)
	b.executions.add(r, b.region)
	time.Sleep(lateCopyDelay)
	_, _ = io.WriteString(conn, wholeResponse(requestID))
	time.Sleep(lateCopyDelay)
}

const (
	// lateCut is how many bytes of a header a server leaves out that stops in its middle.
	lateCut = 10
	// nextRequestWait is how long a server waits for another request on a connection.
	nextRequestWait = 500 * time.Millisecond
	// lateCopyDelay is about the time between two requests on a connection.
	lateCopyDelay = 30 * time.Millisecond
	// endlessPause keeps what a client collects of an endless body to some 40 MB.
	endlessPause = 5 * time.Millisecond
)

// writeEndlessly writes start and then bytes until the other end closes.
func writeEndlessly(conn net.Conn, start string) {
	_, err := io.WriteString(conn, start)
	for block := bytes.Repeat([]byte("x"), 64<<10); err == nil; time.Sleep(endlessPause) {
		_, err = conn.Write(block)
	}
}
