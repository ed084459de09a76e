package admit_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"fuchsiaspar/internal/admit"
	"fuchsiaspar/internal/model"
)

var (
	simServers = flag.Int("servers", 3, "servers of three slots in the overload simulation")
	simSeed    = flag.Int64("sim-seed", 1, "seed of the overload simulation")
)

const ms = time.Millisecond

// The names of the streams that the tests check.
const (
	urgent   = "urgent"
	normal   = "normal"
	bulk     = "bulk"
	bulkLong = "bulk-long"
)

// baseStreams returns streams that together load slots to 70 %.
func baseStreams(slots float64) []stream {
	return []stream{
		{urgent, "a", model.PriorityUrgent, false, 0.30 * slots, 20 * ms, 500 * ms},
		{normal, "a", model.PriorityNormal, false, 0.15 * slots, 20 * ms, 1000 * ms},
		{"normal-long", "b", model.PriorityNormal, true, 0.10 * slots, 200 * ms, 4000 * ms},
		{bulk, "c", model.PriorityBulk, false, 0.10 * slots, 40 * ms, 5000 * ms},
		{bulkLong, "c", model.PriorityBulk, true, 0.05 * slots, 300 * ms, 8000 * ms},
	}
}

// withLoad returns a copy of streams with the load of the named one replaced.
func withLoad(streams []stream, name string, erlangs float64) []stream {
	streams = slices.Clone(streams)
	for i := range streams {
		if streams[i].name == name {
			streams[i].erlangs = erlangs
		}
	}
	return streams
}

// compareWithBaseline simulates streams with the queue and with the baseline, logs
// the results of both and returns the queue's outcomes by stream.
func compareWithBaseline(t *testing.T, title string, streams []stream) map[string]*outcome {
	t.Helper()
	outcomes := simulate(*simSeed, streams, newQueueSystem(*simServers, admit.DefaultPolicy()))
	report(t, title+" full", streams, outcomes)
	report(t, title+" baseline", streams, simulate(*simSeed, streams, newBaselineSystem(*simServers)))
	byName := make(map[string]*outcome)
	for i := range outcomes {
		byName[streams[i].name] = &outcomes[i]
	}
	return byName
}

// report logs the outcomes of a simulation.
func report(t *testing.T, title string, streams []stream, outcomes []outcome) {
	t.Helper()
	for i := range outcomes {
		o := &outcomes[i]
		t.Logf("%-24s %-12s offered %6d answered %5.1f %% slots %4.1f %% p50 %4d ms p99 %4d ms",
			title, streams[i].name, o.offered, 100*o.answeredShare(), 100*o.slotShare(),
			o.quantile(0.5).Milliseconds(), o.quantile(0.99).Milliseconds())
	}
}

// slotShare returns the fraction of all slot time that the stream used.
func (o *outcome) slotShare() float64 {
	return o.busy.Seconds() / simDuration.Seconds() / simSlots()
}

// simSlots returns the number of slots of the simulated servers.
func simSlots() float64 { return float64(*simServers * serverSlots) }

// atLeast fails the test if the named value is below want.
func atLeast(t *testing.T, name string, got, want float64) {
	t.Helper()
	if got < want {
		t.Errorf("%s: %.3f, want at least %.3f", name, got, want)
	}
}

// TestLowPriorityOverload guards against bulk requests at ten times the capacity,
// short or long, delaying or displacing urgent ones.
func TestLowPriorityOverload(t *testing.T) {
	base := baseStreams(simSlots())
	quietP99 := compareWithBaseline(t, "quiet", base)[urgent].quantile(0.99)
	for _, name := range []string{bulk, bulkLong} {
		got := compareWithBaseline(t, "flood "+name, withLoad(base, name, 10*simSlots()))[urgent]
		atLeast(t, "urgent answered", got.answeredShare(), 0.99)
		atLeast(t, "twice the quiet p99 over p99", float64(2*quietP99)/float64(got.quantile(0.99)), 1)
	}
}

// TestUrgentOverload guards against urgent requests at ten times the capacity taking
// the floors of lower priorities, and against urgent requests being answered too
// late to be useful.
func TestUrgentOverload(t *testing.T) {
	got := compareWithBaseline(t, "flood urgent", withLoad(baseStreams(simSlots()), urgent, 10*simSlots()))
	slotShares := func(short, long string) float64 { return got[short].slotShare() + got[long].slotShare() }
	normalShare, bulkShare := slotShares(normal, "normal-long"), slotShares(bulk, bulkLong)
	floors := admit.DefaultPolicy().Floors
	atLeast(t, "normal's slots", normalShare, 0.95*float64(floors[model.PriorityNormal])/100)
	atLeast(t, "bulk's slots", bulkShare, 0.95*float64(floors[model.PriorityBulk])/100)
	atLeast(t, "long transfers answered", got["normal-long"].answeredShare(), 0.9)
	remaining := 1 - normalShare - bulkShare
	goodput := float64(got[urgent].answered) * (20 * ms).Seconds() / simDuration.Seconds() / simSlots()
	atLeast(t, "urgent goodput of the remaining slots", goodput/remaining, 0.9)
}

// TestDeadServers guards against failing servers attracting requests. The dead
// servers fail every request after 1 ms and so always have idle slots. Nothing is
// retried, so only the requests that discover and probe them may be lost.
func TestDeadServers(t *testing.T) {
	for _, tt := range []struct{ servers, dead int }{{2, 1}, {3, 1}, {5, 2}, {20, 8}} {
		streams := baseStreams(float64((tt.servers - tt.dead) * serverSlots))
		withDead := func(build func(*simulation) system) func(*simulation) system {
			return func(s *simulation) system {
				s.dead = tt.dead
				return build(s)
			}
		}
		title := fmt.Sprintf("%d of %d dead", tt.dead, tt.servers)
		got := simulate(*simSeed, streams, withDead(newQueueSystem(tt.servers, admit.DefaultPolicy())))
		report(t, title+" full", streams, got)
		report(t, title+" baseline", streams, simulate(*simSeed, streams, withDead(newBaselineSystem(tt.servers))))
		atLeast(t, title+": urgent answered", got[0].answeredShare(), 0.97)
	}
}

// TestSingleAccountOverload guards against one account at twenty times its usual
// load, with a weight equal to that of the others, reducing their answers.
func TestSingleAccountOverload(t *testing.T) {
	one := func(name string, account model.AccountID, load float64) stream {
		return stream{name, account, model.PriorityNormal, false, load * simSlots(), 20 * ms, 1000 * ms}
	}
	streams := []stream{one("a", "a", 0.035), one("b", "b", 0.20), one("c", "c", 0.20), one("d", "d", 0.20)}
	quiet := compareWithBaseline(t, "accounts", streams)
	got := compareWithBaseline(t, "flood account", withLoad(streams, "a", 20*0.035*simSlots()))
	for _, name := range []string{"b", "c", "d"} {
		atLeast(t, "answered against quiet", got[name].answeredShare()/quiet[name].answeredShare(), 0.95)
	}
}
