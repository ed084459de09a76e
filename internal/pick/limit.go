package pick

import (
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/share"
)

const (
	// limitSpan is the time at a server's limit by which the VMs may be ahead of it or
	// behind, so that requests that arrive at random use it up. Together with
	// limitSpanRequests it takes up half of what the platform tolerates beyond a limit;
	// the rest is for requests that VMs have not heard of yet.
	limitSpan = 500 * time.Millisecond
	// limitSpanRequests is the same in requests, for low limits.
	limitSpanRequests = 1
	// limitMaxDebt is the longest time for which no request goes to a server because
	// of earlier ones. It bounds the pause after VMs that could not hear each other
	// meet again.
	limitMaxDebt = 2 * time.Second
	// limitProbeRate is the least number of requests per second that the VMs together
	// send to a server, whatever its limit: only an answer shows that the limit has
	// changed.
	limitProbeRate = 0.25
	// limitReportAge is how long after the last request to a limited server this VM
	// reports its requests there, so that a lost report is repeated.
	limitReportAge = 2 * time.Second
)

// LimitChange describes a change of the request rate that a server accepts.
type LimitChange struct {
	Server *catalog.Server
	// Limited reports whether the server states a limit now.
	Limited bool
	// PerSecond is the number of requests per second that the server takes from all
	// VMs together, and Previous the one before; zero if there is none.
	PerSecond, Previous float64
	// Source is the VM from which this VM learned of the limit: itself, or the one that
	// passed the statement on.
	Source model.VMID
	// Sent is the number of requests that this VM has sent to the server. The
	// difference between two changes is the number sent between them.
	Sent uint64
	// Tokens is the number of requests that the limit still allowed before the change,
	// negative if the VMs have sent too many.
	Tokens float64
}

// statement is what a server says about its limit.
type statement struct {
	limited   bool
	perSecond float64
	at        time.Time
}

// requestLimit keeps the requests of all VMs to one server within the limit that the
// server states. It is a token bucket that every VM keeps for itself and debits for the
// requests of all VMs, which report theirs to each other. A VM that sends in ignorance
// of another's request puts the bucket into debt, so on average the sum keeps to the
// limit, whichever VMs the requests come to.
//
// The balance determines which part of the objects may go to the server. It settles
// where these make up the limit, at about the same part on all VMs. The other objects
// move for as long as the limit lasts, so that each still meets a server that knows it.
type requestLimit struct {
	// current is the newest statement that this VM knows of.
	current statement
	// heard is the newest statement in an answer to this VM. Only this one is reported
	// to others, so that statements don't travel in circles.
	heard      statement
	tokens     float64
	refilledAt time.Time
	// sent counts this VM's requests under the limit, and lastSent is the time of the
	// last one.
	sent     uint64
	lastSent time.Time
	// sentByVM holds the last reported count of each source of reports: all other VMs
	// together, or a single one.
	sentByVM map[model.VMID]uint64
}

// apply takes over a statement unless it is older than the current one, and reports
// whether it changes the limit. A new limit begins without tokens.
func (l *requestLimit) apply(s statement, now time.Time) bool {
	if s.at.Before(l.current.at) {
		return false
	}
	previous := l.current
	l.refill(now)
	l.current = s
	switch {
	case !s.limited:
		l.tokens, l.sent = 0, 0
	case !previous.limited:
		l.tokens, l.refilledAt = 0, now
	}
	return previous.limited != s.limited || previous.perSecond != s.perSecond
}

// rate returns the number of requests per second that the VMs together may send.
func (l *requestLimit) rate() float64 { return max(l.current.perSecond, limitProbeRate) }

// refill adds the tokens for the time since the last call.
func (l *requestLimit) refill(now time.Time) {
	if elapsed := now.Sub(l.refilledAt); elapsed > 0 {
		l.tokens = min(l.tokens+l.rate()*elapsed.Seconds(), l.span())
		l.refilledAt = now
	}
}

// span is the number of tokens at which all objects may go to the server. At minus that
// many, none may.
func (l *requestLimit) span() float64 { return limitSpanRequests + l.rate()*limitSpan.Seconds() }

func (l *requestLimit) debit(requests uint64) {
	l.tokens = max(l.tokens-float64(requests), -l.span()-l.rate()*limitMaxDebt.Seconds())
}

// allows reports whether a request for an object may go to the server. position is the
// object's place among all objects at this server, from 0 to 1 and the same on all VMs.
func (l *requestLimit) allows(position float64, now time.Time) bool {
	if !l.current.limited {
		return true
	}
	l.refill(now)
	return position < (l.tokens/l.span()+1)/2
}

// recordSend counts a request of this VM.
func (l *requestLimit) recordSend(now time.Time) {
	if !l.current.limited {
		return
	}
	l.refill(now)
	l.debit(1)
	l.sent++
	l.lastSent = now
}

// recordReport debits the requests of another VM since its last report. A count below
// the last one is that of a new process.
func (l *requestLimit) recordReport(vm model.VMID, sent uint64, now time.Time) {
	last := l.sentByVM[vm]
	if sent < last {
		last = 0
	}
	if l.sentByVM == nil {
		l.sentByVM = map[model.VMID]uint64{}
	}
	l.sentByVM[vm] = sent
	if !l.current.limited {
		// The requests were sent under a limit that this VM does not know or that has
		// ended. A later limit must not be debited for them.
		return
	}
	l.refill(now)
	l.debit(sent - last)
}

// report returns what the other VMs need to know, and false if that is nothing new.
func (l *requestLimit) report(now time.Time) (share.LimitReport, bool) {
	heard := !l.heard.at.IsZero() && now.Sub(l.heard.at) < limitReportAge
	sent := l.current.limited && now.Sub(l.lastSent) < limitReportAge
	if !heard && !sent {
		return share.LimitReport{}, false
	}
	report := share.LimitReport{Sent: l.sent}
	if heard {
		report.Stated, report.Limited, report.PerSecond = true, l.heard.limited, l.heard.perSecond
		report.Age = now.Sub(l.heard.at)
	}
	return report, true
}

// RecordLimit records the limit that the chosen server stated with an answer, or that
// it stated none.
func (f *Fleet) RecordLimit(choice Choice, limited bool, perSecond float64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := &choice.Server.limit
	if !limited && !limit.current.limited {
		return
	}
	limit.heard = statement{limited: limited, perSecond: perSecond, at: now}
	f.applyStatement(choice.Server, limit.heard, f.options.Self, now)
}

// applyStatement applies a statement that server made to the VM source. The caller must
// hold f.mu.
func (f *Fleet) applyStatement(server *Server, s statement, source model.VMID, now time.Time) {
	previous := server.limit.current.perSecond
	tokens := server.limit.tokens
	if server.limit.apply(s, now) {
		f.options.OnLimit(LimitChange{
			Server: server.Server, Limited: s.limited, PerSecond: s.perSecond, Previous: previous,
			Source: source, Sent: server.sent, Tokens: tokens,
		})
	}
}

// LimitReports returns what this VM reports to the others about servers that limit
// their requests.
func (f *Fleet) LimitReports(now time.Time) share.LimitReports {
	f.mu.Lock()
	defer f.mu.Unlock()
	reports := share.LimitReports{}
	for _, server := range f.servers {
		if report, ok := server.limit.report(now); ok {
			reports[server.hash] = report
		}
	}
	return reports
}

// SetRemoteLimits applies the reports of another VM.
func (f *Fleet) SetRemoteLimits(vm model.VMID, reports share.LimitReports, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for hash, report := range reports {
		server, ok := f.byHash[hash]
		if !ok {
			continue
		}
		if report.Stated && (report.Limited || server.limit.current.limited) {
			s := statement{limited: report.Limited, perSecond: report.PerSecond, at: now.Add(-report.Age)}
			f.applyStatement(server, s, vm, now)
		}
		server.limit.recordReport(vm, report.Sent, now)
	}
}
