package front

import (
	"net/http"
	"strconv"
	"testing"

	"fuchsiaspar/platform"
)

// Guards against a status that promises "not run" for an order that its server may have
// run: the server answered with that status without stating that it refuses the order.
func TestServersFailureIsNoRefusal(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			front, b := newFront(t, serveStatus(status, false))
			got, _, h := sendRequest(t, front, "POST", "/order/a", "")
			if got != http.StatusBadGateway || platform.Sealed(h) || b.count("id-1") != 1 {
				t.Errorf("got %d, sealed %v, after %d arrivals; want %d without a seal", got, platform.Sealed(h), b.count("id-1"), http.StatusBadGateway)
			}
		})
	}
}
