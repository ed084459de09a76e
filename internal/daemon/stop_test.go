package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/wiretest"
)

// Guards against a request that comes late in a planned stop, is passed on, and is cut at
// the end of the stop without an answer.
func TestPlannedStopPassesOnNothingThatCannotEnd(t *testing.T) {
	const stopTimeout, sentAfter = 8 * time.Second, 3 * time.Second
	reached := make(chan string, 10)
	released := make(chan struct{})
	f := startTestFleetWith(t, 2, startRawBackend(t, func(c *net.TCPConn, r *http.Request) {
		reached <- r.URL.Path
		switch r.URL.Path {
		case "/lookup/early":
			<-released
		case "/lookup/long":
			time.Sleep(2 * stopTimeout)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello")
	}))
	send := func(path, deadline string) (*http.Response, string) {
		request := call{method: http.MethodGet, path: "/v1/requests/desk" + path, header: map[string]string{header.Account: testAccount, header.DeadlineMS: deadline}}
		return request.send(t, f.addresses[0])
	}
	// The stop waits for a request that was passed on before it.
	early := make(chan int, 1)
	go func() {
		resp, _ := send("/lookup/early", "15000")
		early <- resp.StatusCode
	}()
	<-reached
	leaving := f.daemons[0]
	leaving.settings.Limits.StopTimeout = model.Duration(stopTimeout)
	stopped := make(chan error, 1)
	go func() { stopped <- leaving.Stop(context.Background()) }()
	time.Sleep(sentAfter)
	if resp, body := send("/lookup/short", "2000"); resp.StatusCode != http.StatusOK || body != "hello" {
		t.Errorf("a request that ends in the stop got %d %q", resp.StatusCode, body)
	}
	if resp, body := send("/lookup/long", "15000"); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(header.Outcome) != "not-run" ||
		resp.Header.Get(header.Reason) != string(model.ReasonStopping) {
		t.Errorf("a request that may outlast the stop got %d %v %q", resp.StatusCode, resp.Header, body)
	}
	close(released)
	if status := <-early; status != http.StatusOK {
		t.Errorf("a request from before the stop got %d", status)
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
	close(reached)
	for path := range reached {
		if path == "/lookup/long" {
			t.Error("a request that may outlast the stop was passed on")
		}
	}
}

// Guards against answers that the kernel drops when a stop closes the connection of a client
// that has sent further requests: it resets a connection with unread input.
func TestPlannedStopDeliversAnswersBeforeUnreadRequests(t *testing.T) {
	const size, behind = 20 << 10, 400
	reached, released := make(chan struct{}, behind+1), make(chan struct{})
	f := startTestFleetWith(t, 2, startRawBackend(t, func(c *net.TCPConn, _ *http.Request) {
		reached <- struct{}{}
		<-released
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", size, strings.Repeat("x", size))
	}))
	conn := wiretest.DialWindow(t, f.addresses[0], 4<<10)
	request := fmt.Sprintf("GET /v1/requests/desk/lookup/a HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 15000\r\n\r\n",
		header.Account, testAccount, header.DeadlineMS)
	if _, err := io.WriteString(conn, strings.Repeat(request, 1+behind)); err != nil {
		t.Fatal(err)
	}
	<-reached
	stopped := make(chan error, 1)
	go func() { stopped <- f.daemons[0].Stop(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	close(released)
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != size || resp.StatusCode != http.StatusOK {
		t.Errorf("got %d with %d bytes, %v", resp.StatusCode, n, err)
	}
}
