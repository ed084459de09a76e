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

// exchange is a request of a client with what it got.
type exchange struct {
	id, method string
	sent       time.Time
	// status is zero if the connection ended without a complete answer.
	status int
	seal   string
	body   string
	err    error
}

// load is a set of clients that send one request after another on kept connections.
type load struct {
	world *world
	stop  chan struct{}
	group sync.WaitGroup
	mu    sync.Mutex
	done  []exchange
}

// startLoad starts clients that send requests, each one every pause.
func (w *world) startLoad(clients int, method, path string, deadline, pause time.Duration) *load {
	l := &load{world: w, stop: make(chan struct{})}
	for i := range clients {
		l.group.Go(func() {
			var conn net.Conn
			var reader *bufio.Reader
			for turn := i; ; turn++ {
				select {
				case <-l.stop:
					if conn != nil {
						_ = conn.Close()
					}
					return
				case <-time.After(pause):
				}
				if conn == nil {
					var err error
					if conn, err = net.DialTimeout("tcp", w.vms[turn%len(w.vms)].front, time.Second); err != nil {
						conn = nil
						continue
					}
					reader = bufio.NewReader(conn)
				}
				e, keep := w.request(conn, reader, method, path, deadline)
				l.mu.Lock()
				l.done = append(l.done, e)
				l.mu.Unlock()
				if !keep {
					_ = conn.Close()
					conn = nil
				}
			}
		})
	}
	return l
}

// end stops the clients and returns what they sent and got.
func (l *load) end() []exchange {
	close(l.stop)
	l.group.Wait()
	for _, e := range l.done {
		outcome := "status " + strconv.Itoa(e.status)
		if e.status == 0 {
			outcome = fmt.Sprint("no answer: ", e.err)
		}
		l.world.note("client: %s %s sent at %.3f: %s", e.method, e.id, e.sent.Sub(l.world.begun).Seconds(), outcome)
	}
	return l.done
}

// request sends one request and reads its answer.
func (w *world) request(conn net.Conn, reader *bufio.Reader, method, path string, deadline time.Duration) (e exchange, keep bool) {
	e = exchange{id: w.nextID(), method: method, sent: time.Now()}
	_ = conn.SetDeadline(e.sent.Add(deadline + time.Second))
	body := ""
	length := ""
	if method == http.MethodPost {
		body = "order " + e.id
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, e.err = io.WriteString(conn, requestHead(method, path, e.id, deadline, length)+"\r\n"+body); e.err != nil {
		return e, false
	}
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		e.err = err
		return e, false
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		e.err = err
		return e, false
	}
	e.status, e.seal, e.body = resp.StatusCode, resp.Header.Get("X-Fuchsiaspar-Response-Seal"), string(data)
	return e, !resp.Close
}

// readAnswer reads the whole answer to a request.
func readAnswer(reader *bufio.Reader, id string) (*http.Response, error) {
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return nil, err
	}
	if got := resp.Header.Get("X-Fuchsiaspar-Request-Id"); got != id {
		return nil, fmt.Errorf("answer to another request, %q", got)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}
