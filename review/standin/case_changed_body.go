package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// drawing returns a body in which every line says where it stands.
func drawing(size int) []byte {
	var b bytes.Buffer
	for b.Len() < size {
		fmt.Fprintf(&b, "%014d\n", b.Len())
	}
	return b.Bytes()[:size]
}

// received is what a server read as the body of a request.
type received struct {
	body []byte
	err  error
}

// converter is a stand-in of a server that converts drawings. It begins its answer when
// it has read the first part of a long body, and reads on while it answers.
type converter struct {
	id    string
	early bool
	rec   *record

	mu   sync.Mutex
	read map[string]received
}

const (
	// firstPart is how much of the body the server reads before it begins to answer.
	firstPart = 64 << 10
	// answerSize is the largest answer that the servers of the site send.
	answerSize = 540_000
)

func (c *converter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if expected := r.Header.Get(headerExpected); expected != "" && expected != c.id {
		w.Header().Set(headerInstance, c.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set(headerSeal, "seal."+id)
	answer := bytes.Repeat([]byte("x"), answerSize)
	var body bytes.Buffer
	_, err := io.CopyN(&body, r.Body, firstPart)
	if c.early {
		c.rec.add("server %s has read %d bytes of request %s and begins to answer", c.id, body.Len(), id)
		_, _ = w.Write(answer[:answerSize-10_000])
		_ = http.NewResponseController(w).Flush()
		answer = answer[answerSize-10_000:]
	}
	if err == nil {
		_, err = io.Copy(&body, r.Body)
	}
	c.rec.add("server %s has read request %s to its end: %d bytes, error %v", c.id, id, body.Len(), err)
	c.mu.Lock()
	c.read[id] = received{body.Bytes(), err}
	c.mu.Unlock()
	_, _ = w.Write(answer)
}

// changedBody: servers begin to answer before they have read a long body, and read on.
func changedBody(w *world) ([]string, error) {
	const requests, bodySize = 40, 1 << 20
	zones := []string{"lj-a", "mb-a", "kp-a"}
	regions := map[string]string{"lj-a": "lj", "mb-a": "mb", "kp-a": "kp"}
	var converters []*converter
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		c := &converter{id: fmt.Sprintf("i-vault-%d", i), early: w.trouble, rec: w.rec, read: map[string]received{}}
		converters = append(converters, c)
		go func() { _ = http.Serve(listener, c) }()
		s := &server{
			id: c.id, service: "plan-vault", zone: zones[i], slots: 3, address: listener.Addr().String(),
			born: time.Now().UnixMilli(), store: w.store,
		}
		w.servers = append(w.servers, s)
		s.register("ready")
	}
	w.configure(map[string]route{
		"convert": {Host: "vault.example", PathPrefix: "/convert/", Kind: "non_idempotent", TimeoutMS: 3000, TargetMS: 2500, Priority: 1, Service: "plan-vault", Attempts: 2, Affinity: true, Regions: []string{}},
	})
	if err := w.startVMs(zones, regions); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	body := drawing(bodySize)
	var broken []string
	for i := range requests {
		id := newID()
		v := w.vms[i%len(w.vms)]
		status, err := upload(v, id, fmt.Sprintf("/convert/%d", i), body)
		w.rec.add("client sent request %s with %d bytes (SHA-256 %.8x) to %s and got %d, error %v", id, len(body), sha256.Sum256(body), v.name, status, err)
		for _, c := range converters {
			c.mu.Lock()
			got, ok := c.read[id]
			c.mu.Unlock()
			// A body that does not arrive whole isn't judged, only one that ends as if it
			// were whole.
			if !ok || got.err != nil || bytes.Equal(got.body, body) {
				continue
			}
			at := 0
			for at < len(got.body) && at < len(body) && got.body[at] == body[at] {
				at++
			}
			broken = append(broken, fmt.Sprintf("UNASKED: request %s of %d bytes reached %s as a whole body of %d bytes (SHA-256 %.8x) that differs from byte %d on; the client got %d",
				id, len(body), c.id, len(got.body), sha256.Sum256(got.body), at, status))
		}
		time.Sleep(100 * time.Millisecond)
	}
	return broken, nil
}

// upload sends a body in chunks while it reads the answer.
func upload(v *vm, id, path string, body []byte) (status int, err error) {
	conn, err := net.DialTimeout("tcp", v.front, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	go func() {
		w := bufio.NewWriter(conn)
		fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: vault.example\r\n%s: %s\r\n%s: 3000\r\nTransfer-Encoding: chunked\r\n\r\n", path, headerID, id, headerDeadline)
		const chunk = 16 << 10
		for rest := body; len(rest) > 0; {
			n := min(chunk, len(rest))
			fmt.Fprintf(w, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
			_ = w.Flush()
			// About 16 MB/s, the pace of a 130 Mbit/s link.
			time.Sleep(time.Millisecond)
		}
		_, _ = w.WriteString("0\r\n\r\n")
		_ = w.Flush()
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return resp.StatusCode, err
	}
	return resp.StatusCode, nil
}
