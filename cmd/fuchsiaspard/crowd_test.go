package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"fuchsiaspar/internal/header"
	kv "fuchsiaspar/platform"
)

// member is one connection of a crowd. It sends what it intends to, and returns early
// if the VM closes the connection. What it does after calling sent lasts until stop.
type member func(c net.Conn, sent func(), stop <-chan struct{})

// crowd is a number of uncontrolled clients at one listener.
type crowd struct {
	name string
	// role is the listener, path the request's path.
	role, path string
	size       int
	member     func(path string) member
}

const (
	routePath   = "/a/crowd?hold"
	noRoutePath = "/none/crowd"
	// smallBody is below the size up to which a body is buffered, bigBody above.
	smallBody = 250 << 10
	bigBody   = 2 << 20
	// fieldCount fields of at most 6 bytes are below 16 KiB of header.
	fieldCount = 2600
	// slowInterval separates the bytes of a slow client.
	slowInterval = 100 * time.Millisecond
)

// crowds lists the uncontrolled clients. The crowds that send much stay below the VM's
// descriptors with their connections; those that are slow or stalled exceed them.
func crowds() []crowd {
	const manyBodies, manyConnections = 450, 700
	var list []crowd
	at := func(name string, size int, m func(string) member, targets ...string) {
		for _, target := range targets {
			c := crowd{name: name + "/" + target, role: "front", path: routePath, size: size, member: m}
			switch target {
			case "no_route":
				c.path = noRoutePath
			case "ready":
				c.role, c.path = "ready", kv.PathReady
			case "directory":
				c.role, c.path = "directory", kv.PathResolve
			case "control":
				c.role, c.path = "control", "/v1/seed"
			case "metrics":
				c.role, c.path = "metrics", "/metrics"
			}
			list = append(list, c)
		}
	}
	at("complete_bodies", manyBodies, completeBody, "route", "no_route", "ready")
	at("bodies_in_small_pieces", manyBodies, bodyInPieces, "route", "no_route", "ready")
	at("chunked_bodies", manyBodies, chunkedBody, "route", "no_route", "ready")
	at("bodies_short_of_their_end", manyBodies, shortBody(smallBody), "route", "no_route", "ready")
	at("large_bodies_short_of_their_end", manyBodies/2, shortBody(bigBody), "route", "no_route")
	at("stated_oversized_bodies", manyBodies, statedOversizedBody, "route", "no_route", "ready")
	at("chunked_oversized_bodies", manyBodies/4, chunkedOversizedBody, "route", "no_route")
	at("many_fields", manyBodies, manyFields, "route", "no_route", "ready")
	at("requests_sent_ahead", manyBodies, requestsAhead, "route", "no_route", "ready", "metrics")
	at("slow_headers", manyConnections, slowHeader, "route", "ready", "directory", "control", "metrics")
	at("slow_bodies", manyConnections, slowBody, "route", "no_route", "ready")
	at("slow_readers", manyBodies, slowReader(500_000), "route")
	at("slow_readers_of_large_answers", manyBodies/2, slowReader(2_000_000), "route")
	at("stalled_headers", manyConnections, stalledHeader, "route", "ready", "control")
	at("silent_connections", manyConnections, silent, "route", "ready", "control")
	return list
}

func requestHead(method, path, more string) string {
	if strings.HasPrefix(path, ownPathPrefix) {
		more += header.Account + ": carrier\r\n"
	}
	return method + " " + path + " HTTP/1.1\r\nHost: " + crowdHost + "\r\n" + kv.HeaderRequestID + ": crowd\r\n" + more + "\r\n"
}

func postHead(path string, length int) string {
	return requestHead(http.MethodPost, path, fmt.Sprintf("Content-Length: %d\r\n", length))
}

// sendAll returns a member that writes the parts and stays connected.
func sendAll(parts ...string) member {
	return func(c net.Conn, sent func(), stop <-chan struct{}) {
		for _, part := range parts {
			if _, err := io.WriteString(c, part); err != nil {
				break
			}
		}
		sent()
		<-stop
	}
}

func completeBody(path string) member {
	return sendAll(postHead(path, smallBody) + strings.Repeat("x", smallBody))
}

func bodyInPieces(path string) member {
	parts := []string{postHead(path, smallBody)}
	piece := strings.Repeat("x", 1000)
	for range smallBody / len(piece) {
		parts = append(parts, piece)
	}
	return sendAll(append(parts, strings.Repeat("x", smallBody%len(piece)))...)
}

func chunks(path string, bytes int) []string {
	parts := []string{requestHead(http.MethodPost, path, "Transfer-Encoding: chunked\r\n")}
	chunk := "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"
	for range bytes / 0x1000 {
		parts = append(parts, chunk)
	}
	return parts
}

// chunkedBody lacks the last chunk.
func chunkedBody(path string) member { return sendAll(chunks(path, smallBody)...) }

func chunkedOversizedBody(path string) member { return sendAll(chunks(path, 2*crowdMaxBody)...) }

func shortBody(length int) func(string) member {
	return func(path string) member {
		return sendAll(postHead(path, length) + strings.Repeat("x", length-1))
	}
}

func statedOversizedBody(path string) member {
	return sendAll(postHead(path, 16*crowdMaxBody) + strings.Repeat("x", smallBody))
}

// manyFields sends a header of legal size with very many fields, and a body that stops
// short of its end.
func manyFields(path string) member {
	var fields strings.Builder
	for i := range fieldCount {
		fmt.Fprintf(&fields, "%c%c:\r\n", 'a'+i%26, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789!#$%&'*+-.^_`|~"[i/26%77])
	}
	head := requestHead(http.MethodPost, path, "Content-Length: 10\r\n"+fields.String())
	return sendAll(head + "short")
}

// requestsAhead sends requests without reading the answers.
func requestsAhead(path string) member {
	path = strings.Replace(path, "?hold", "?bytes=400000", 1)
	return func(c net.Conn, sent func(), stop <-chan struct{}) {
		block := strings.Repeat(requestHead(http.MethodGet, path, ""), 100)
		// The writes block once the VM reads no further.
		_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
		for range 20 {
			if _, err := io.WriteString(c, block); err != nil {
				break
			}
		}
		sent()
		<-stop
	}
}

// trickle sends the bytes of text one by one, and reports to have sent the first ones.
func trickle(first, text string) member {
	return func(c net.Conn, sent func(), stop <-chan struct{}) {
		_, err := io.WriteString(c, first)
		sent()
		ticker := time.NewTicker(slowInterval)
		defer ticker.Stop()
		for i := 0; err == nil && i < len(text); i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
				_, err = io.WriteString(c, text[i:i+1])
			}
		}
		<-stop
	}
}

func slowHeader(path string) member {
	return trickle("GET "+path+" HTTP/1.1\r\n", "X-Filler: "+strings.Repeat("x", 10000))
}

func slowBody(path string) member { return trickle(postHead(path, 10000), strings.Repeat("x", 10000)) }

// slowReader requests an answer of the given length and reads it byte by byte.
func slowReader(length int) func(string) member {
	return func(path string) member {
		path = strings.Replace(path, "?hold", fmt.Sprintf("?bytes=%d", length), 1)
		return func(c net.Conn, sent func(), stop <-chan struct{}) {
			_, err := io.WriteString(c, requestHead(http.MethodGet, path, ""))
			sent()
			one := make([]byte, 1)
			ticker := time.NewTicker(slowInterval)
			defer ticker.Stop()
			for err == nil {
				select {
				case <-stop:
					return
				case <-ticker.C:
					_, err = c.Read(one)
				}
			}
			<-stop
		}
	}
}

func stalledHeader(path string) member {
	return sendAll("GET " + path + " HTTP/1.1\r\nHost: " + crowdHost + "\r\nX-Fil")
}

func silent(string) member { return sendAll() }

// gather connects the crowd and returns once each member has sent what it intends to
// send, or was refused. The returned function disconnects the crowd.
func (vm *crowdVM) gather(c crowd) (disperse func()) {
	stop := make(chan struct{})
	var sent, ended sync.WaitGroup
	dialer := net.Dialer{Timeout: hangTimeout}
	for range c.size {
		sent.Add(1)
		ended.Go(func() {
			once := sync.OnceFunc(sent.Done)
			defer once()
			conn, err := dialer.Dial("tcp", vm.addresses[c.role])
			if err != nil {
				return
			}
			defer conn.Close()
			// A small window lets answers that nobody reads stay with the VM.
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			// A refused member may wait for the VM to read what it sends.
			_ = conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
			c.member(c.path)(conn, once, stop)
		})
	}
	sent.Wait()
	return func() {
		close(stop)
		ended.Wait()
	}
}

// playKnownRed also plays the cases that are listed in KNOWN-RED.txt.
var playKnownRed = flag.Bool("crowd.known-red", false, "also play the cases that are listed in KNOWN-RED.txt")

// knownRed are the crowds that are listed in KNOWN-RED.txt.
var knownRed = map[string]bool{"slow_readers_of_large_answers/route": true}

// TestUncontrolledClients guards against a process that exits, hangs, or exceeds the
// memory or the descriptors of its VM because of clients that don't behave. Readiness
// must be answered while they are connected, and an ordinary request afterwards.
func TestUncontrolledClients(t *testing.T) {
	binary := (&deployment{t: t, dir: t.TempDir()}).build("fuchsiaspard")
	for _, c := range crowds() {
		t.Run(c.name, func(t *testing.T) {
			if knownRed[c.name] && !*playKnownRed {
				t.Skip("listed in KNOWN-RED.txt")
			}
			vm := startCrowdVM(t, binary)
			disperse := vm.gather(c)
			vm.waitFor("readiness while the crowd is connected", func() bool {
				return vm.status("ready", kv.PathReady) == http.StatusOK
			})
			// Memory that is still to be claimed for what was sent shows within this time.
			time.Sleep(500 * time.Millisecond)
			close(vm.released)
			disperse()
			vm.waitFor("an ordinary request after the crowd", vm.serves)
			vm.checkResources()
		})
	}
}

// TestCrowdRequestsAreLegal guards against crowds that are refused for a fault of their
// own: the header of the crowd with many fields is below the operator's limit.
func TestCrowdRequestsAreLegal(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	stop := make(chan struct{})
	close(stop)
	go func() {
		manyFields(routePath)(server, func() {}, stop)
		server.Close()
	}()
	data, err := io.ReadAll(client)
	if err != nil {
		t.Fatal(err)
	}
	head, _, _ := bytes.Cut(data, []byte("\r\n\r\n"))
	if len(head) > 16<<10 {
		t.Errorf("header of %d bytes", len(head))
	}
	if fields := bytes.Count(append(head, "\r\n"...), []byte(":\r\n")); fields < fieldCount {
		t.Errorf("%d fields, want %d", fields, fieldCount)
	}
}
