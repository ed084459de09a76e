package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Doses of the disruption: fewer than half of the servers break off every 50th answer for 5 s.
const (
	garbleEvery = 50
	garbleTime  = 5 * time.Second
	calmTime    = 3 * time.Second
	// burst is the number of requests that a client sends before the first is answered.
	burst          = 8
	pipelineCount  = 8
	packSize       = 90000
	lostAllowed    = 3
	packDeadline   = 4 * time.Second
	packTimeout    = 3 * time.Second
	packWork       = 60 * time.Millisecond
	packServers    = 9
	garbledServers = 4
)

// lostRequest is a request on a kept connection that got no answer.
type lostRequest struct {
	id       string
	position int
}

// pipelinedCase breaks off few answers of some servers, while clients send further
// idempotent requests before the first one is answered.
func pipelinedCase(w *world, trouble bool) (string, error) {
	w.configure(7, []string{"vault"}, map[string]any{"r-pack": route("/pack/", "idempotent", "vault", packTimeout)})
	garbling := make(chan struct{})
	var servers []*backend
	for i := range packServers {
		b, err := w.startBackend(fmt.Sprintf("i-%02d", i), "vault", regions[i%len(regions)]+"-a", packWork)
		if err != nil {
			return "", err
		}
		servers = append(servers, b)
		if i < garbledServers {
			b.respond = func(b *backend, out io.Writer, r *http.Request, number int64) (whole, keep bool) {
				select {
				case <-garbling:
					if number%garbleEvery == 0 {
						return respondHalf(b, out, r)
					}
				default:
				}
				return respondWhole(b, out, r, number)
			}
		}
	}
	if err := w.startVMs(daemon, 6); err != nil {
		return "", err
	}
	if err := w.awaitReady(); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	var lost []lostRequest
	answered := 0
	for i := range pipelineCount {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				n, missing := w.pipelineConnection(w.vms[i%len(w.vms)].front, stop)
				mu.Lock()
				answered += n
				lost = append(lost, missing...)
				mu.Unlock()
			}
		})
	}
	time.Sleep(calmTime)
	if trouble {
		w.note("from now on %d of %d servers break off every %dth answer", garbledServers, packServers, garbleEvery)
		close(garbling)
		time.Sleep(garbleTime)
	} else {
		time.Sleep(garbleTime)
	}
	close(stop)
	clients.Wait()
	for _, b := range servers {
		defer b.exit()
	}
	// Counted are requests that a machine passed on to a sound server, one that breaks off
	// nothing, and whose connection it closed without an answer.
	count, spoiled := 0, 0
	for _, l := range lost {
		sound := false
		for _, a := range w.arrivalsOf(l.id) {
			sound = sound || a.server >= fmt.Sprintf("i-%02d", garbledServers)
		}
		w.note("client: request %s, number %d of its burst, got no answer; passed on to a sound server: %v", l.id, l.position, sound)
		if sound {
			count++
		}
	}
	w.mu.Lock()
	for _, a := range w.arrivals {
		if a.spoiled {
			spoiled++
		}
	}
	w.mu.Unlock()
	w.note("answered %d, broken off by servers %d, passed on to sound servers and not answered %d", answered, spoiled, count)
	fmt.Printf("answered %d, broken off by servers %d, passed on to sound servers and not answered %d\n", answered, spoiled, count)
	if answered < 100 {
		return "", fmt.Errorf("only %d requests were answered", answered)
	}
	if count > lostAllowed {
		return fmt.Sprintf("LOST: %d requests of kept connections were passed on to sound servers, and their connections closed without an answer", count), nil
	}
	return "", nil
}

// respondHalf breaks an answer off in the middle and resets nothing.
func respondHalf(b *backend, w io.Writer, r *http.Request) (whole, keep bool) {
	id := r.Header.Get("X-Fuchsiaspar-Request-Id")
	body := bodyOf(id, sizeOf(r))
	_, _ = io.WriteString(w, b.head("HTTP/1.1", "200 OK", id)+
		fmt.Sprintf("X-Fuchsiaspar-Response-Seal: seal.%s.%s\r\nContent-Length: %d\r\n\r\n", b.id, id, len(body))+body[:len(body)/2])
	return false, false
}

// pipelineConnection opens a connection, sends one request and then bursts of requests until
// stop or until the connection ends. It returns how many were answered, and the requests
// that were sent on the kept connection and got no answer.
func (w *world) pipelineConnection(front string, stop <-chan struct{}) (answered int, lost []lostRequest) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return 0, nil
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for size := 1; ; size = burst {
		ids := make([]string, size)
		heads := ""
		for i := range ids {
			ids[i] = w.nextID()
			heads += requestHead("GET", fmt.Sprintf("/pack/x?size=%d", packSize), ids[i], packDeadline) + "\r\n"
		}
		sent := time.Now()
		_ = conn.SetDeadline(sent.Add(packDeadline + time.Second))
		if _, err := io.WriteString(conn, heads); err != nil {
			// Nothing shows that the machine has read these.
			return answered, lost
		}
		for i, id := range ids {
			resp, err := readAnswer(reader, id)
			if err != nil {
				w.note("client: connection ended at request %s, number %d of %d, %v after it was sent: %v", id, i+1, size, time.Since(sent).Round(time.Millisecond), err)
				// The first one without an answer is that of the broken answer itself.
				for j := i; j < size && size > 1; j++ {
					lost = append(lost, lostRequest{ids[j], j + 1})
				}
				return answered, lost
			}
			answered++
			if resp.Close {
				return answered, lost
			}
		}
		select {
		case <-stop:
			return answered, lost
		default:
		}
	}
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
