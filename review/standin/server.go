package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in of a backend server. It serves one request at a time on a
// connection, slots requests at once, and queues some more.
type server struct {
	id, service, zone, address string
	slots, queue               int
	// tellsLoad makes it state its load in every answer.
	tellsLoad bool
	// work is how long a request takes.
	work func(r *http.Request) time.Duration
	// addsRefusal decides whether a further response, which belongs to no request, is
	// sent after an answer, late: at the point where the next answer is due on the
	// connection. Nil means never.
	addsRefusal func() bool
	rec         *record
	runs        *runs
	store       *store
	born        int64

	mu               sync.Mutex
	running, waiting int
	sequence         int
	listener         net.Listener
	conns            map[net.Conn]bool
	ended            chan struct{}
	slot             chan struct{}
}

// run is one execution of a request.
type run struct {
	server, service string
	at              time.Time
	ended           time.Time
	result          string
}

// runs holds the executions by request id.
type runs struct {
	mu   sync.Mutex
	byID map[string][]*run
}

func newRuns() *runs { return &runs{byID: map[string][]*run{}} }

func (r *runs) begin(id string, s *server) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	execution := &run{server: s.id, service: s.service, at: time.Now()}
	r.byID[id] = append(r.byID[id], execution)
	return execution
}

func (r *runs) end(execution *run, result string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	execution.ended, execution.result = time.Now(), result
}

// of returns copies of the executions of a request.
func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []run
	for _, execution := range r.byID[id] {
		found = append(found, *execution)
	}
	return found
}

func (s *server) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.address, s.born = listener, listener.Addr().String(), time.Now().UnixMilli()
	s.conns, s.ended, s.slot = map[net.Conn]bool{}, make(chan struct{}), make(chan struct{}, s.slots)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	s.register("ready")
	return nil
}

// stop ends the server process: all its connections close.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close()
	close(s.ended)
	for conn := range s.conns {
		conn.Close()
	}
}

// register writes the entry in the store; its return is the acknowledgement.
func (s *server) register(state string) {
	s.mu.Lock()
	s.sequence++
	sequence := s.sequence
	s.mu.Unlock()
	s.store.put("servers/"+s.id, fmt.Appendf(nil,
		`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"sequence":%d,"cold_left_ms":0}}`,
		s.address, s.born, s.service, s.zone, s.slots, state, sequence))
}

// serve answers the requests of one connection.
func (s *server) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	requests, gone := make(chan *http.Request, 1), make(chan struct{})
	go func() {
		defer close(gone)
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			r.ContentLength = int64(len(body))
			select {
			case requests <- r:
			case <-s.ended:
				return
			}
		}
	}()
	extraDue := false
	for {
		select {
		case <-gone:
			return
		case <-s.ended:
			return
		case r := <-requests:
			if extraDue {
				s.rec.add("server %s sends an extra response that belongs to no request", s.id)
				_, _ = io.WriteString(conn, extraResponse)
				extraDue = false
			}
			answer := s.answer(r, gone)
			if answer == "" {
				return
			}
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
			extraDue = s.addsRefusal != nil && s.addsRefusal()
		}
	}
}

const (
	headerID       = "X-Fuchsiaspar-Request-Id"
	headerSeal     = "X-Fuchsiaspar-Response-Seal"
	headerDeadline = "X-Fuchsiaspar-Deadline-Ms"
	headerExpected = "X-Fuchsiaspar-Expected-Instance"
	headerInstance = "X-Fuchsiaspar-Instance-Id"
	headerNotRun   = "X-Fuchsiaspar-Not-Executed"
	headerLoad     = "X-Fuchsiaspar-Server-Load"
	keepAlive      = "Keep-Alive: timeout=10\r\n"
)

// extraResponse is the answer to a request that has no id.
const extraResponse = "HTTP/1.1 400 Bad Request\r\n" + headerNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"

// load returns the header line with the load.
func (s *server) load() string {
	if !s.tellsLoad {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%s: %d,%d,%d\r\n", headerLoad, s.running, s.waiting, s.slots)
}

// answer handles a request and returns the bytes to send, none if the caller has gone.
func (s *server) answer(r *http.Request, gone chan struct{}) string {
	id := r.Header.Get(headerID)
	if r.URL.Path == "/health" {
		return "HTTP/1.1 200 OK\r\n" + headerInstance + ": " + s.id + "\r\n" + s.load() + keepAlive + "Content-Length: 0\r\n\r\n"
	}
	if expected := r.Header.Get(headerExpected); expected != "" && expected != s.id {
		s.rec.add("server %s answers 421 to request %s for %s", s.id, id, expected)
		return "HTTP/1.1 421 Misdirected Request\r\n" + headerInstance + ": " + s.id + "\r\nContent-Length: 0\r\n\r\n"
	}
	s.mu.Lock()
	full := s.running+s.waiting >= s.slots+s.queue
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		s.rec.add("server %s is full and refuses request %s", s.id, id)
		return "HTTP/1.1 503 Service Unavailable\r\n" + headerNotRun + ": 1\r\n" + s.load() + keepAlive + "Content-Length: 0\r\n\r\n"
	}
	deadline := time.Now().Add(30 * time.Second)
	if ms, err := strconv.ParseFloat(r.Header.Get(headerDeadline), 64); err == nil {
		deadline = time.Now().Add(time.Duration(ms * float64(time.Millisecond)))
	}
	expired := time.NewTimer(time.Until(deadline))
	defer expired.Stop()
	select {
	case s.slot <- struct{}{}:
	case <-expired.C:
		s.count(-1, 0)
		return "HTTP/1.1 503 Service Unavailable\r\n" + headerID + ": " + id + "\r\n" + headerNotRun + ": 1\r\n" + s.load() + keepAlive + "Content-Length: 0\r\n\r\n"
	case <-gone:
		s.count(-1, 0)
		return ""
	case <-s.ended:
		return ""
	}
	s.count(-1, 1)
	defer func() {
		<-s.slot
		s.count(0, -1)
	}()
	execution := s.runs.begin(id, s)
	s.rec.add("server %s (%s) runs request %s (%s %s)", s.id, s.service, id, r.Method, r.URL.Path)
	work := time.NewTimer(s.work(r))
	defer work.Stop()
	status, body := "200 OK", "body of "+id+" from "+s.service+"\n"
	select {
	case <-work.C:
	case <-expired.C:
		status, body = "504 Gateway Timeout", "deadline\n"
	case <-gone:
		s.runs.end(execution, "cut")
		s.rec.add("server %s was cut off at work on request %s", s.id, id)
		return ""
	case <-s.ended:
		s.runs.end(execution, "server ended")
		return ""
	}
	s.runs.end(execution, status)
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: seal.%s\r\n%s%sContent-Length: %d\r\n\r\n%s",
		status, headerID, id, headerSeal, id, s.load(), keepAlive, len(body), body)
}

func (s *server) count(waiting, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += waiting
	s.running += running
}
