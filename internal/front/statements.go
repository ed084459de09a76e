package front

import (
	"net/http"
	"sync"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/pick"
	"fuchsiaspar/platform"
)

// invalidSpell is how long a server's invalid statements count as one spell, which is
// logged once.
const invalidSpell = time.Minute

// invalidLog remembers which servers' invalid statements have been logged. It is safe for
// concurrent use.
type invalidLog struct {
	mu     sync.Mutex
	logged map[model.ServerID]time.Time
}

// begins reports whether a spell of invalid statements of a server begins now.
func (l *invalidLog) begins(server model.ServerID, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.logged[server]) < invalidSpell {
		return false
	}
	for id, at := range l.logged {
		if now.Sub(at) >= invalidSpell {
			delete(l.logged, id)
		}
	}
	if l.logged == nil {
		l.logged = map[model.ServerID]time.Time{}
	}
	l.logged[server] = now
	return true
}

// recordStatements reports what a server says about itself with its response: the request
// rate that it takes, that it leaves, or that it wants a pause. It returns whether it
// wants a pause. A misdirected response comes from another server.
func (q *request) recordStatements(choice pick.Choice, status int, h http.Header, now time.Time) (deferred bool) {
	if status == http.StatusMisdirectedRequest {
		return false
	}
	q.recordLimit(choice, status, h, now)
	leaving, err := platform.ParseLeaving(h)
	q.noteInvalid(choice, err, now)
	if leaving && q.server.opts.Fleet.RecordLeaving(choice, now) {
		q.noteStatement(choice, "server leaves")
	}
	pause, err := platform.ParsePause(status, h)
	q.noteInvalid(choice, err, now)
	if pause > 0 && q.server.opts.Fleet.RecordPause(choice, pause, now) {
		q.noteStatement(choice, "server pauses", "for", pause)
	}
	return pause > 0
}

// recordLimit reports the request rate that a server states. An unsealed response may come
// from no server. A refusal without a limit says nothing about it.
func (q *request) recordLimit(choice pick.Choice, status int, h http.Header, now time.Time) {
	perSecond, stated, err := platform.ParseRequestLimit(h)
	q.noteInvalid(choice, err, now)
	if err == nil && (platform.Sealed(h) || stated && platform.NotExecuted(status, h)) {
		q.server.opts.Fleet.RecordLimit(choice, stated, perSecond, now)
	}
}

// noteStatement logs and counts a statement that takes a server out of use.
func (q *request) noteStatement(choice pick.Choice, message string, more ...any) {
	q.server.metrics.statement(message)
	q.server.opts.Log.Event(message, append([]any{"server", choice.Target.ID, "service", choice.Target.Service,
		"zone", choice.Target.Zone, "source", "its answer"}, more...)...)
}

// noteInvalid counts an invalid statement, and logs the first one of a spell.
func (q *request) noteInvalid(choice pick.Choice, err error, now time.Time) {
	if err == nil {
		return
	}
	q.server.metrics.statement("invalid")
	if q.server.invalid.begins(choice.Target.ID, now) {
		q.logFailed("invalid statement of a server", "cause", err)
	}
}
