package pick

import (
	"time"

	"fuchsiaspar/internal/catalog"
)

// LimitChange describes a change of the request rate that a server accepts.
type LimitChange struct {
	Server *catalog.Server
	// Limited reports whether the server states a limit now.
	Limited bool
	// PerSecond is the number of requests per second that the server takes from all
	// VMs together, and Previous the one before; zero if there is none.
	PerSecond, Previous float64
	// Sent is the number of requests that this VM has sent to the server. The
	// difference between two changes is the number sent between them.
	Sent uint64
}

// requestLimit is the limit that a server last stated.
type requestLimit struct {
	limited   bool
	perSecond float64
}

// RecordLimit records the limit that the chosen server stated with an answer, or that
// it stated none.
func (f *Fleet) RecordLimit(choice Choice, limited bool, perSecond float64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	server := choice.Server
	stated := requestLimit{limited: limited, perSecond: perSecond}
	if server.limit == stated {
		return
	}
	f.options.OnLimit(LimitChange{
		Server: server.Server, Limited: limited, PerSecond: perSecond, Previous: server.limit.perSecond, Sent: server.sent,
	})
	server.limit = stated
}
