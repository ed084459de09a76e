package daemon

import (
	"testing"
	"time"
)

// TestReplacedProcessGivesWay starts a second process under the name of a
// running one. The older process must end by itself.
func TestReplacedProcessGivesWay(t *testing.T) {
	f := startTestFleet(t, 2)
	first := f.daemons[0]
	l := listen(t)
	f.address[0] = l.Addr().String()
	f.startDaemon(t, 0, l)
	select {
	case <-first.superseded:
	case <-time.After(patience):
		t.Fatal("the older process still runs")
	}
}
