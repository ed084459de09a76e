package daemon

import (
	"testing"
	"time"
)

// TestSupersededProcessStops starts a second process under the VM name of a
// running one and checks that the older process stops without intervention.
func TestSupersededProcessStops(t *testing.T) {
	f := startTestFleet(t, 2)
	first := f.daemons[0]
	l := listen(t)
	f.addresses[0] = l.Addr().String()
	f.startDaemon(t, 0, l)
	select {
	case <-first.superseded:
	case <-time.After(waitTimeout):
		t.Fatal("the superseded process still runs")
	}
}
