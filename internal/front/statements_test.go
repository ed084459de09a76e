package front

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"fuchsiaspar/platform"
)

// stating adds headers to the responses of a server.
func stating(serve behaviour, headers map[string]string) behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		for name, value := range headers {
			w.Header().Set(name, value)
		}
		serve(w, r)
	}
}

// Guards against new requests to a server that says in its answers, and nowhere else, that
// it leaves.
func TestServerThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	arrivals := 0
	leaving := stating(serveOK, map[string]string{platform.HeaderLeaving: "1"})
	front, _ := newFront(t, func(w http.ResponseWriter, r *http.Request) {
		arrivals++
		leaving(w, r)
	}, serveOK)
	for range 100 {
		if status, _, _ := sendRequest(t, front, "POST", "/order/a", ""); status != http.StatusOK {
			t.Fatalf("got %d", status)
		}
	}
	for i := range 30 {
		// Other objects go to other servers.
		sendRequest(t, front, "POST", "/order/"+strconv.Itoa(i), "")
	}
	if arrivals > 1 {
		t.Errorf("%d requests reached the server, %d after it said that it leaves", arrivals, arrivals-1)
	}
}

// Guards against requests to a server that refused one and asked for a pause, and against
// clients that come back while all servers have done so.
func TestServerThatAsksForAPauseGetsIt(t *testing.T) {
	const pause = 3 * time.Second
	refuse := stating(serveStatus(http.StatusServiceUnavailable, true), map[string]string{platform.HeaderRetryAfter: "3"})
	front, b := newFront(t, refuse, refuse)
	for range 20 {
		began := time.Now()
		status, _, h := sendRequest(t, front, "POST", "/order/a", "")
		if status != http.StatusServiceUnavailable || time.Since(began) > 300*time.Millisecond {
			t.Errorf("got %d after %v", status, time.Since(began))
		}
		if seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64); err != nil || seconds < (pause-time.Second).Seconds() {
			t.Errorf("the client may come back in %q", h.Get("Retry-After"))
		}
	}
	if got := b.count("id-1"); got > 2 {
		t.Errorf("%d requests reached two servers that asked for a pause after one", got)
	}
}
