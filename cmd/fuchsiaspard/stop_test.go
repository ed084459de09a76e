package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	kv "fuchsiaspar/platform"
)

const (
	// stopPath begins the paths whose server works for the time in the query.
	stopPath = "/slow/"
	// stopGrace is the grace of a planned stop in the settings of the VM under test.
	stopGrace = 3 * time.Second
	// fitting is a deadline that ends in the stop if the request comes a second after the
	// signal.
	fitting = 800 * time.Millisecond
)

// lateRequest is a request that is sent in a planned stop.
type lateRequest struct {
	id string
	// kind is what the connection did before: "silent" was opened before the stop, "kept"
	// was used before it, "new" is opened for the request. "body" sends all but the end of
	// its body at the signal.
	kind string
	// after is the time from the signal to the request.
	after time.Duration
	// work is how long the server works, deadline the client's deadline, zero if it has none.
	work, deadline time.Duration

	conn   net.Conn
	reader *bufio.Reader
}

func (r *lateRequest) open(t *testing.T, address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Logf("%s: %v", r.id, err)
		return
	}
	r.conn, r.reader = conn, bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(hangTimeout))
}

// send sends the request and returns the status of a complete answer, or zero.
func (r *lateRequest) send(id string, work time.Duration) int {
	head := fmt.Sprintf("POST %sx?%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: 4\r\n", stopPath, work, crowdHost, kv.HeaderRequestID, id)
	if r.deadline > 0 {
		head += fmt.Sprintf("%s: %d\r\n", kv.HeaderDeadline, r.deadline.Milliseconds())
	}
	if r.kind == "body" {
		if _, err := io.WriteString(r.conn, head+"\r\nbod"); err != nil {
			return 0
		}
		time.Sleep(r.after)
		head = ""
	} else {
		head += "\r\nbod"
	}
	if _, err := io.WriteString(r.conn, head+"y"); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// workServer is a backend server that works for a stated time. It records the requests that
// reach it.
type workServer struct {
	mu      sync.Mutex
	reached map[string]bool
}

func (s *workServer) serve(c *net.TCPConn, r *http.Request) {
	id := r.Header.Get(kv.HeaderRequestID)
	s.mu.Lock()
	s.reached[id] = true
	s.mu.Unlock()
	work, _ := time.ParseDuration(r.URL.RawQuery)
	time.Sleep(work)
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+kv.HeaderRequestID+": "+id+"\r\n"+kv.HeaderSeal+": seal\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
}

// TestPlannedStopPassesOnNothingThatCannotEnd guards against requests that come late in the
// grace of a planned stop, are passed on, and are cut at its end without an answer.
func TestPlannedStopPassesOnNothingThatCannotEnd(t *testing.T) {
	binary := (&deployment{t: t, dir: t.TempDir()}).build("fuchsiaspard")
	for _, kind := range []string{"non_idempotent", "idempotent"} {
		t.Run(kind, func(t *testing.T) {
			vm := startCrowdVM(t, binary)
			server := &workServer{reached: map[string]bool{}}
			vm.addRawServer(stopPath, kind, server.serve)
			var requests []*lateRequest
			for _, connection := range []string{"silent", "kept", "new", "body"} {
				for _, after := range []time.Duration{1000, 1500, 2000, 2500, 2650} {
					after *= time.Millisecond
					requests = append(requests,
						&lateRequest{kind: connection, after: after, work: 2 * stopGrace},
						&lateRequest{kind: connection, after: after, work: 2 * stopGrace, deadline: stopGrace},
						&lateRequest{kind: connection, after: after, work: 100 * time.Millisecond},
						&lateRequest{kind: connection, after: after, work: 100 * time.Millisecond, deadline: 150 * time.Millisecond},
						&lateRequest{kind: connection, after: after, work: 100 * time.Millisecond, deadline: fitting})
				}
			}
			for i, r := range requests {
				r.id = fmt.Sprintf("%d, %s after %v, work %v, deadline %v", i, r.kind, r.after, r.work, r.deadline)
				if r.kind != "new" {
					r.open(t, vm.addresses["front"])
				}
				if r.kind == "kept" {
					if status := (&lateRequest{conn: r.conn, reader: r.reader}).send("before", 0); status != http.StatusOK {
						t.Fatalf("a request before the stop got %d", status)
					}
				}
			}
			// While pipelined requests are in progress, connections stay open.
			pipelined, err := net.Dial("tcp", vm.addresses["front"])
			if err != nil {
				t.Fatal(err)
			}
			defer pipelined.Close()
			if _, err := io.WriteString(pipelined, strings.Repeat(requestHead(http.MethodGet, routePath, ""), 3)); err != nil {
				t.Fatal(err)
			}
			vm.waitFor("pipelined requests", func() bool { return vm.held.Load() == 3 })
			if err := vm.process.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			statuses := make([]int, len(requests))
			var clients sync.WaitGroup
			for i, r := range requests {
				clients.Go(func() {
					if r.kind != "body" {
						time.Sleep(r.after)
					}
					if r.kind == "new" {
						r.open(t, vm.addresses["front"])
					}
					if r.conn != nil {
						statuses[i] = r.send(r.id, r.work)
						r.conn.Close()
					}
				})
			}
			clients.Wait()
			select {
			case <-vm.exited:
			case <-time.After(hangTimeout):
				t.Error("the process did not end")
			}
			server.mu.Lock()
			defer server.mu.Unlock()
			answered := 0
			for i, r := range requests {
				switch {
				case server.reached[r.id] && statuses[i] == 0:
					t.Errorf("passed on and cut without an answer: %s", r.id)
				case server.reached[r.id] && statuses[i] == http.StatusServiceUnavailable:
					t.Errorf("passed on and refused as not run: %s", r.id)
				case !server.reached[r.id] && statuses[i] == http.StatusBadGateway:
					t.Errorf("not passed on, but not refused as not run: %s", r.id)
				case (r.kind == "silent" || r.kind == "kept") && r.after == time.Second && r.deadline == fitting && !server.reached[r.id]:
					t.Errorf("not passed on, although it ends in the stop: %s", r.id)
				case statuses[i] != 0:
					answered++
				}
			}
			t.Logf("%d of %d requests were answered", answered, len(requests))
			if answered == 0 {
				t.Error("no request in the grace was answered")
			}
		})
	}
}
