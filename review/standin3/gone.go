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

const (
	goneServers = 9
	goneWork    = 900 * time.Millisecond
	goneClients = 16
	goneTime    = 5 * time.Second
	// goneEvery is the number of exchanges of which one is left by its client.
	goneEvery = 5
	// goneAfter is the time after the close from which on no request may reach a server.
	goneAfter   = 500 * time.Millisecond
	goneAllowed = 5
)

// goneCase lets some clients leave that have sent a further idempotent request behind an
// idempotent request with a body.
func goneCase(w *world, trouble bool) (string, error) {
	w.configure(7, []string{"desk"}, map[string]any{"r-look": route("/look/", "idempotent", "desk", 3*time.Second)})
	for i := range goneServers {
		b, err := w.startBackend(fmt.Sprintf("i-%02d", i), "desk", regions[i%len(regions)]+"-a", goneWork)
		if err != nil {
			return "", err
		}
		defer b.exit()
	}
	if err := w.startVMs(daemon, 6); err != nil {
		return "", err
	}
	if err := w.awaitReady(); err != nil {
		return "", err
	}
	var mu sync.Mutex
	closedAt := map[string]time.Time{}
	answered, left := 0, 0
	end := time.Now().Add(goneTime)
	var clients sync.WaitGroup
	for i := range goneClients {
		clients.Go(func() {
			for turn := i; time.Now().Before(end); turn++ {
				leaves := trouble && turn%goneEvery == 0
				n, ids, at := w.pairOfRequests(w.vms[turn%len(w.vms)].front, leaves)
				mu.Lock()
				answered += n
				if leaves && !at.IsZero() {
					left++
					for _, id := range ids {
						closedAt[id] = at
					}
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	late := 0
	w.mu.Lock()
	for _, a := range w.arrivals {
		if at, gone := closedAt[a.id]; gone && a.at.Sub(at) > goneAfter {
			late++
		}
	}
	w.mu.Unlock()
	w.note("answered %d, clients that left %d, requests that reached a server over %v after their client had closed %d", answered, left, goneAfter, late)
	fmt.Printf("answered %d, clients that left %d, requests that reached a server over %v after their client had closed %d\n", answered, left, goneAfter, late)
	if answered < 50 {
		return "", fmt.Errorf("only %d requests were answered", answered)
	}
	if late > goneAllowed {
		return fmt.Sprintf("GONE: %d requests reached servers over half a second after their clients had closed their connections", late), nil
	}
	return "", nil
}

// pairOfRequests sends a request with a body and, before it is answered, a second one. A
// client that leaves closes its connection 0.2 s after the first one, at the time returned.
func (w *world) pairOfRequests(front string, leaves bool) (answered int, ids []string, closed time.Time) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return 0, nil, time.Time{}
	}
	defer conn.Close()
	const deadline = 3500 * time.Millisecond
	ids = []string{w.nextID(), w.nextID()}
	body := "query of " + ids[0]
	_ = conn.SetDeadline(time.Now().Add(2 * deadline))
	first := requestHead(http.MethodPost, "/look/x?size=500", ids[0], deadline, fmt.Sprintf("Content-Length: %d\r\n", len(body))) + "\r\n" + body
	second := requestHead(http.MethodGet, "/look/x?size=500", ids[1], deadline) + "\r\n"
	for _, text := range []string{first, second} {
		if _, err := io.WriteString(conn, text); err != nil {
			return 0, ids, time.Time{}
		}
		time.Sleep(100 * time.Millisecond)
	}
	if leaves {
		_ = conn.Close()
		closed = time.Now()
		w.note("client: %s and %s sent; the client closes the connection", ids[0], ids[1])
		return 0, ids, closed
	}
	reader := bufio.NewReader(conn)
	for _, id := range ids {
		if _, err := readAnswer(reader, id); err != nil {
			w.note("client: request %s: %v", id, err)
			return answered, ids, closed
		}
		answered++
	}
	return answered, ids, closed
}
