package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fuchsiaspar/internal/wiretest"
	kv "fuchsiaspar/platform"
)

const (
	// nearEnd is a work time that ends in the stop, near its end.
	nearEnd = 2200 * time.Millisecond
	// middle is a work time that ends while the VM still accepts connections.
	middle = 500 * time.Millisecond
	// beyondEnd is a work time that outlasts the stop.
	beyondEnd = 3 * stopGrace
	// quick is the work time of requests that are behind others.
	quick = 100 * time.Millisecond
)

// work is what a server does for a request: it works for a time and answers with a body.
type work struct {
	time time.Duration
	size int
}

// pipelinedClient sends requests at once on one connection.
type pipelinedClient struct {
	name     string
	requests []work
	// pause is how long the client waits after the signal before it reads.
	pause time.Duration
	// late is sent after the signal, behind the requests, unless it is empty.
	late []work
	// window is the size in bytes of the client's receive buffer, unless it is zero.
	window int

	conn   net.Conn
	reader *bufio.Reader
}

func pipelinedClients() []*pipelinedClient {
	// Of the sizes, the first is held for its turn, the next is read ahead by the VM, and the
	// last is longer than what the VM and the connections take.
	const held, ahead, long = 20 << 10, 90 << 10, 6 << 20
	// A client with a small window leaves the rest of an answer in the VM's kernel.
	const small = 4 << 10
	return []*pipelinedClient{
		{name: "behind one that ends near the end", requests: []work{{nearEnd, 2}, {quick, 2}, {quick, 2}}},
		{name: "between", requests: []work{{quick, 2}, {nearEnd, 2}, {quick, held}, {nearEnd, 2}, {quick, 2}}},
		{name: "long answers", requests: []work{{nearEnd, 2}, {quick, held}, {quick, ahead}, {quick, long}, {quick, 2}}},
		{name: "behind one that outlasts the stop", requests: []work{{beyondEnd, 2}, {quick, 2}, {quick, held}}},
		{name: "among such", requests: []work{{beyondEnd, 2}, {quick, 2}, {beyondEnd, 2}, {quick, ahead}, {quick, 2}}},
		{name: "as many as are started", requests: append([]work{{nearEnd, 2}}, make([]work, 16)...)},
		{name: "late reader", requests: []work{{nearEnd, 2}, {quick, held}, {quick, 2}}, pause: 2400 * time.Millisecond},
		{name: "small window", requests: []work{{middle, 2}, {quick, held}}, pause: 2400 * time.Millisecond, window: small},
		{name: "small window, more behind", requests: []work{{middle, 2}, {quick, held}}, late: make([]work, 400), pause: 2400 * time.Millisecond, window: small},
		{name: "more behind", requests: []work{{nearEnd, 2}, {quick, 2}}, late: []work{{quick, 2}, {quick, 2}}},
	}
}

func (c *pipelinedClient) id(i int) string { return fmt.Sprintf("%s, request %d", c.name, i) }

// send sends the requests from index first on.
func (c *pipelinedClient) send(t *testing.T, first int, requests []work) {
	t.Helper()
	var text strings.Builder
	for i, w := range requests {
		fmt.Fprintf(&text, "GET %s%d?%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 12000\r\n\r\n",
			stopPath, w.size, w.time, crowdHost, kv.HeaderRequestID, c.id(first+i), kv.HeaderDeadline)
	}
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		t.Errorf("%s: %v", c.name, err)
	}
}

// read returns the status of the next answer, or zero unless it is complete and answers the
// request.
func (c *pipelinedClient) read(id string, size int) int {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || resp.Header.Get(kv.HeaderRequestID) != id || resp.StatusCode == http.StatusOK && n != int64(size) {
		return 0
	}
	return resp.StatusCode
}

// pipelinedServer is a backend server that works as the requests say.
type pipelinedServer struct {
	mu sync.Mutex
	// reached holds the requests that reached the server, and finished those whose work ended
	// while the VM still waited for it.
	reached, finished map[string]bool
}

func (s *pipelinedServer) serve(c *net.TCPConn, r *http.Request) {
	id := r.Header.Get(kv.HeaderRequestID)
	s.mark(s.reached, id)
	duration, _ := time.ParseDuration(r.URL.RawQuery)
	size, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, stopPath))
	// The VM sends nothing behind the request. A read ends when it closes the connection.
	_ = c.SetReadDeadline(time.Now().Add(duration))
	if _, err := c.Read(make([]byte, 1)); err == io.EOF {
		return
	}
	s.mark(s.finished, id)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		kv.HeaderRequestID, id, kv.HeaderSeal, size)
	_, _ = io.CopyN(c, zeros{}, int64(size))
}

func (s *pipelinedServer) mark(set map[string]bool, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set[id] = true
}

// state returns whether a request reached the server, and whether it was finished.
func (s *pipelinedServer) state(id string) (reached, finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reached[id], s.finished[id]
}

// check reads the answers and reports what is wrong with them.
func (c *pipelinedClient) check(t *testing.T, server *pipelinedServer) {
	for i, w := range append(c.requests, c.late...) {
		id := c.id(i)
		status := c.read(id, w.size)
		reached, finished := server.state(id)
		switch {
		case finished && status != http.StatusOK:
			t.Errorf("the server finished it, and the client got %d: %s", status, id)
		case reached && status == 0:
			t.Errorf("passed on and cut without an answer: %s", id)
		case reached && status == http.StatusServiceUnavailable:
			t.Errorf("passed on and refused as not run: %s", id)
		case !reached && i < len(c.requests):
			t.Errorf("not passed on: %s", id)
		}
	}
}

// TestPlannedStopAnswersAllThatServersFinished guards against a planned stop that closes
// connections while finished answers to pipelined requests wait for their turn, or have not
// been delivered yet.
func TestPlannedStopAnswersAllThatServersFinished(t *testing.T) {
	vm := startCrowdVM(t, (&deployment{t: t, dir: t.TempDir()}).build("fuchsiaspard"))
	server := &pipelinedServer{reached: map[string]bool{}, finished: map[string]bool{}}
	vm.addRawServer(stopPath, "idempotent", server.serve)
	clients := pipelinedClients()
	for _, c := range clients {
		c.conn = wiretest.DialWindow(t, vm.addresses["front"], c.window)
		c.reader = bufio.NewReader(c.conn)
		c.send(t, 0, c.requests)
	}
	vm.waitFor("the requests at the server", func() bool {
		for _, c := range clients {
			for i := range c.requests {
				if reached, _ := server.state(c.id(i)); !reached {
					return false
				}
			}
		}
		return true
	})
	if err := vm.process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	signalled := time.Now()
	ended := make(chan time.Duration, 1)
	go func() {
		<-vm.exited
		ended <- time.Since(signalled)
	}()
	var group sync.WaitGroup
	for _, c := range clients {
		group.Go(func() {
			time.Sleep(quick)
			c.send(t, len(c.requests), c.late)
			time.Sleep(c.pause - time.Since(signalled))
			c.check(t, server)
		})
	}
	group.Wait()
	select {
	case took := <-ended:
		if took > stopGrace {
			t.Errorf("the stop took %v, longer than its grace", took)
		}
	case <-time.After(hangTimeout):
		t.Error("the process did not end")
	}
}
