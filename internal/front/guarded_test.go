package front

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/platform"
)

func dialGuarded(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

// sendOrder sends an order with a body of so many bytes and returns the status.
func sendOrder(t *testing.T, address string, bytes int) int {
	t.Helper()
	conn, reader := dialGuarded(t, address)
	_, err := fmt.Fprintf(conn, "POST /order HTTP/1.1\r\nHost: h.example\r\n%s: order\r\nContent-Length: %d\r\n\r\n%s",
		platform.HeaderRequestID, bytes, strings.Repeat("x", bytes))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Guards against a client that leaves before it has read a response and thereby cuts off
// the request of another client, on the connection on which that response had arrived.
func TestOrderIsNotCutOffByAClientThatLeaves(t *testing.T) {
	const long = 1 << 20
	bigSent, atServer, left := make(chan struct{}), make(chan struct{}), make(chan struct{})
	address, _ := startGuardedFront(t, 64<<20, func(w http.ResponseWriter, r *http.Request) {
		sealed(w, r)
		switch {
		case strings.Contains(r.URL.Path, "slow"):
			<-r.Context().Done()
		case strings.Contains(r.URL.Path, "big"):
			w.Header().Set("Content-Length", strconv.Itoa(long))
			_, _ = w.Write(make([]byte, long))
			close(bigSent)
		default:
			close(atServer)
			<-left
			// The VM notices that the client has left.
			time.Sleep(100 * time.Millisecond)
		}
	})
	conn, _ := dialGuarded(t, address)
	if _, err := io.WriteString(conn, pipelinedRequest("GET", "/read/slow", "1")+pipelinedRequest("GET", "/read/big", "2")); err != nil {
		t.Fatal(err)
	}
	<-bigSent
	// The VM reads the rest of the response.
	time.Sleep(100 * time.Millisecond)
	go func() {
		<-atServer
		conn.Close()
		close(left)
	}()
	if status := sendOrder(t, address, 0); status != http.StatusOK {
		t.Errorf("got %d for an order that the server ran", status)
	}
}

// Guards against memory that stays accounted for responses that have been sent, on a
// connection that always has a request in progress.
func TestPipelinedResponsesReleaseTheirMemory(t *testing.T) {
	const requests = 800
	address, _ := startGuardedFront(t, 2<<20, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		sealed(w, r)
		time.Sleep(time.Duration(5+rand.IntN(15)) * time.Millisecond)
		_, _ = w.Write(make([]byte, 2000))
	})
	conn, reader := dialGuarded(t, address)
	go func() {
		for i := range requests {
			if _, err := io.WriteString(conn, pipelinedRequest("GET", "/read/a", strconv.Itoa(i))); err != nil {
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
	}()
	for i := range requests {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("response %d: %d, %v", i, resp.StatusCode, err)
		}
		if i != requests-10 {
			continue
		}
		if status := sendOrder(t, address, 100_000); status != http.StatusOK {
			t.Errorf("got %d for an order beside a connection with %d answered requests", status, i)
		}
	}
}
