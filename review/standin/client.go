package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// outcome is how one client attempt ended.
type outcome struct {
	id     string
	vm     string
	method string
	path   string
	// sent is when the last byte was sent, ended when the answer was whole or the
	// connection had ended.
	sent, ended time.Time
	// status is 0 if there was no complete answer; err then says why.
	status     int
	sealed     bool
	body       string
	retryAfter time.Duration
	err        string
	// connected reports that the connection had been opened.
	connected bool
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// attempt is one request on a connection of its own.
type attempt struct {
	method, host, path string
	body               string
	object             string
	deadline           time.Duration
	// pause is how long the client takes between opening the connection and sending.
	pause time.Duration
}

// do sends the request to the front address of a VM and waits for the end.
func (a attempt) do(v *vm) outcome {
	out := outcome{id: newID(), vm: v.name, method: a.method, path: a.path}
	fail := func(err error) outcome {
		out.ended, out.err = time.Now(), err.Error()
		return out
	}
	conn, err := net.DialTimeout("tcp", v.front, time.Second)
	if err != nil {
		return fail(err)
	}
	defer conn.Close()
	out.connected = true
	time.Sleep(a.pause)
	deadline := time.Now().Add(a.deadline)
	_ = conn.SetDeadline(deadline)
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Fuchsiaspar-Affinity-Key: %s\r\n%s: %d\r\n",
		a.method, a.path, a.host, headerID, out.id, a.object, headerDeadline, a.deadline.Milliseconds())
	if a.method == http.MethodPost {
		request += fmt.Sprintf("Content-Length: %d\r\n", len(a.body))
	}
	if _, err := io.WriteString(conn, request+"\r\n"+a.body); err != nil {
		return fail(err)
	}
	out.sent = time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: a.method})
	if err != nil {
		return fail(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fail(err)
	}
	out.ended, out.status, out.body = time.Now(), resp.StatusCode, string(body)
	out.sealed = resp.Header.Get(headerSeal) != ""
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		out.retryAfter = time.Duration(s * float64(time.Second))
	}
	return out
}

func (o outcome) String() string {
	if o.status == 0 {
		return "no complete answer: " + o.err
	}
	if o.sealed {
		return fmt.Sprintf("%d from a server", o.status)
	}
	return strconv.Itoa(o.status)
}

// isReady asks a VM whether it is ready, as the platform does once per second.
func isReady(v *vm) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.ready + "/-/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
