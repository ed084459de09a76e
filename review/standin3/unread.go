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
	unreadServers = 9
	unreadWork    = 60 * time.Millisecond
	// slowWork is the work of the slow look-up; the longest of menu-history is 6.6 s.
	slowWork = 4200 * time.Millisecond
	// unreadLimit is the time after which a server cuts off an answer that is not read.
	unreadLimit    = 3 * time.Second
	unreadClients  = 3
	unreadPacks    = 6
	unreadSize     = 540000
	unreadTimeout  = 5 * time.Second
	unreadDeadline = 12 * time.Second
	unreadBursts   = 3
	lostAllowed    = 3
)

// unreadCase has clients send a look-up and, before it is answered, some downloads. With
// trouble the look-up takes long. All servers are sound; their answers have no length.
func unreadCase(w *world, trouble bool) (string, error) {
	w.configure(7, []string{"desk", "vault"}, map[string]any{
		"r-look": route("/look/", "idempotent", "desk", unreadTimeout),
		"r-pack": route("/pack/", "idempotent", "vault", unreadTimeout),
	})
	for i := range unreadServers {
		service, work, respond := "vault", unreadWork, respondChunked
		if i%3 == 0 {
			service, respond = "desk", respondWhole
			if trouble {
				work = slowWork
			}
		}
		b, err := w.startBackend(fmt.Sprintf("i-%02d", i), service, regions[(i/3)%len(regions)]+"-a", work)
		if err != nil {
			return "", err
		}
		b.respond = respond
		defer b.exit()
	}
	if err := w.startVMs(daemon, 6); err != nil {
		return "", err
	}
	if err := w.awaitReady(); err != nil {
		return "", err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	var lost []string
	answered := 0
	for i := range unreadClients {
		clients.Go(func() {
			for n := range unreadBursts {
				a, missing := w.lookAndPacks(w.vms[(i+n)%len(w.vms)].front)
				mu.Lock()
				answered += a
				lost = append(lost, missing...)
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	passed := 0
	for _, id := range lost {
		n := len(w.arrivalsOf(id))
		w.note("client: request %s got no answer; it reached a server %d times", id, n)
		if n > 0 {
			passed++
		}
	}
	w.note("answered %d, passed on to sound servers and not answered %d", answered, passed)
	fmt.Printf("answered %d, passed on to sound servers and not answered %d\n", answered, passed)
	if answered < 9 {
		return "", fmt.Errorf("only %d requests were answered", answered)
	}
	if passed > lostAllowed {
		return fmt.Sprintf("LOST: %d requests of kept connections were passed on to sound servers, and their connections closed without an answer", passed), nil
	}
	return "", nil
}

// respondChunked sends a whole answer without a length, and cuts it off if it is not read.
func respondChunked(b *backend, w io.Writer, r *http.Request, _ int64) (whole, keep bool) {
	id := r.Header.Get("X-Fuchsiaspar-Request-Id")
	conn, _ := w.(*net.TCPConn)
	_ = conn.SetWriteBuffer(64 << 10)
	defer func() { _ = conn.SetWriteDeadline(time.Time{}) }()
	_, err := io.WriteString(w, b.head("HTTP/1.1", "200 OK", id)+
		fmt.Sprintf("X-Fuchsiaspar-Response-Seal: seal.%s.%s\r\nTransfer-Encoding: chunked\r\n\r\n", b.id, id))
	body := bodyOf(id, sizeOf(r))
	for err == nil && len(body) > 0 {
		part := body[:min(len(body), 16<<10)]
		body = body[len(part):]
		_ = conn.SetWriteDeadline(time.Now().Add(unreadLimit))
		_, err = fmt.Fprintf(w, "%x\r\n%s\r\n", len(part), part)
	}
	if err == nil {
		_, err = io.WriteString(w, "0\r\n\r\n")
	}
	if err != nil {
		b.world.note("server %s: answer to %s cut off, since it was not read for %v: %v", b.id, id, unreadLimit, err)
	}
	return err == nil, err == nil
}

// lookAndPacks opens a connection, sends one request, and then a look-up with downloads right
// behind it. It returns how many were answered, and those sent on the kept connection that
// were not.
func (w *world) lookAndPacks(front string) (answered int, lost []string) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return 0, nil
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(2*unreadDeadline + time.Second))
	first := w.nextID()
	if _, err := io.WriteString(conn, requestHead(http.MethodGet, "/pack/x?size=100", first, unreadDeadline)+"\r\n"); err != nil {
		return 0, nil
	}
	if _, err := readAnswer(reader, first); err != nil {
		return 0, nil
	}
	answered++
	ids := []string{w.nextID()}
	heads := requestHead(http.MethodGet, "/look/x?size=500", ids[0], unreadDeadline) + "\r\n"
	for range unreadPacks {
		id := w.nextID()
		ids = append(ids, id)
		heads += requestHead(http.MethodGet, fmt.Sprintf("/pack/x?size=%d", unreadSize), id, unreadDeadline) + "\r\n"
	}
	sent := time.Now()
	if _, err := io.WriteString(conn, heads); err != nil {
		return answered, nil
	}
	for i, id := range ids {
		if _, err := readAnswer(reader, id); err != nil {
			w.note("client: connection ended at request %s, number %d of %d, %v after it was sent: %v", id, i+1, len(ids), time.Since(sent).Round(time.Millisecond), err)
			return answered, ids[i:]
		}
		answered++
	}
	return answered, nil
}
