package concurrency

import "time"

// Request describes a request that is sent to a server.
type Request struct {
	Class Class
	// Ahead is the number of requests known to be at the server, without this one.
	Ahead int
}

// Ticket identifies a request between Begin and Record.
type Ticket uint64

// End says how a request ended.
type End uint8

// The ends of a request.
const (
	// Completed requests show how long their work took.
	Completed End = iota
	// Interrupted requests show only that their work takes at least as long.
	Interrupted
	// Refused requests show that the server takes fewer at once.
	Refused
	// Ignored requests show nothing: they did not run, or failed early, or ran on a
	// server that starts cold.
	Ignored
)

// Report is a server's statement of its load, the ended request included.
type Report struct {
	Running, Waiting, Slots int
	// Slowness is how many times as long as usual the server's machine takes for work;
	// zero if unknown.
	Slowness float64
}

// Sample is the end of a request.
type Sample struct {
	Ticket Ticket
	End    End
	// Report has no slots if the server sent none.
	Report Report
}

// pending is a request without an answer.
type pending struct {
	ticket Ticket
	sentAt time.Duration
	usual  *usual
	// ahead is the number of requests at the server when this one was sent.
	ahead int
}

// Begin records that a request is sent to the server.
func (e *Estimator) Begin(r Request, now time.Time) Ticket {
	e.lastTicket++
	e.outstanding = append(e.outstanding, pending{
		ticket: e.lastTicket, sentAt: e.service.since(now), usual: e.service.usual.of(r.Class), ahead: r.Ahead,
	})
	return e.lastTicket
}

// Ignore excludes an outstanding request from the estimate.
func (e *Estimator) Ignore(ticket Ticket) {
	for i := range e.outstanding {
		if e.outstanding[i].ticket == ticket {
			e.outstanding[i].usual = nil
		}
	}
}

// Record records the end of a request. The estimate includes it from the next Refresh.
func (e *Estimator) Record(sample Sample, now time.Time) {
	at := e.service.since(now)
	p, ok := e.take(sample.Ticket)
	if !ok || p.usual == nil {
		return
	}
	e.changed = true
	switch sample.End {
	case Completed:
		e.recordWork(&p, sample.Report, false, at)
	case Interrupted:
		e.recordWork(&p, sample.Report, true, at)
	case Refused:
		e.recordRefusal(&p, sample.Report, at)
	}
}

// take removes an outstanding request.
func (e *Estimator) take(ticket Ticket) (pending, bool) {
	for i, p := range e.outstanding {
		if p.ticket == ticket {
			e.outstanding = append(e.outstanding[:i], e.outstanding[i+1:]...)
			return p, true
		}
	}
	return pending{}, false
}
