package front

import (
	"net/http"
	"strconv"
	"time"

	"fuchsiaspar/platform"
)

// currentAge is the age up to which this VM's copy of the configuration is known to be
// current. Copies are compared with the store every 1.2 s. A key that an older copy lacks
// may have been added since.
const currentAge = 2 * time.Second

// identify finds the client account of the request by its key. It reports whether the
// request was refused.
func (q *request) identify() bool {
	accounts := &q.snapshot.Config.Accounts
	if accounts.Len() == 0 {
		return false
	}
	if key, ok := platform.ParseKey(q.r.Header); ok {
		q.account = accounts.ByKey(key)
	}
	if q.account != nil || q.route.Exempt {
		return false
	}
	if q.server.opts.Age(q.start) > currentAge {
		q.refuse(http.StatusServiceUnavailable, reasonUnconfirmedKey)
		return true
	}
	q.refuse(http.StatusUnauthorized, reasonUnknownKey)
	return true
}

// setAccountHeaders replaces what the client said of its account by what the servers may
// know of it. Where there are accounts, the Authorization header holds a key.
func (q *request) setAccountHeaders(h http.Header) {
	if q.snapshot.Config.Accounts.Len() == 0 {
		return
	}
	delete(h, platform.HeaderKey)
	delete(h, platform.HeaderAccount)
	if q.account != nil {
		h.Set(platform.HeaderAccount, string(q.account.ID))
	}
}

// takeToken takes a token of the account's limit for the next attempt, unless the request
// has one of an attempt that was not sent. It comes right before the choice of a server,
// since a request that is refused must not use up what a limited or cold server takes.
func (q *request) takeToken(now time.Time) bool {
	if q.hasToken || q.account == nil || q.server.opts.Limits == nil {
		return true
	}
	q.hasToken, q.limitedFor = q.server.opts.Limits.Take(q.account.ID, now)
	return q.hasToken
}

// spendToken is called when the request is about to be sent. It reports whether the
// request had a token.
func (q *request) spendToken() bool {
	had := q.hasToken
	q.hasToken = false
	return had
}

// returnToken returns the token of a request that was not sent.
func (q *request) returnToken() {
	if q.hasToken {
		q.hasToken = false
		q.server.opts.Limits.Return(q.account.ID, time.Now())
		q.server.metrics.accountTokenReturned()
	}
}

// limitFields returns the state of the account's limit, for log lines.
func (q *request) limitFields() []any {
	state := q.server.opts.Limits.State(q.account.ID, time.Now())
	return []any{"tokens", strconv.FormatFloat(state.Tokens, 'f', 1, 64), "allowance", strconv.FormatFloat(state.Allowance, 'f', 1, 64),
		"report_age", state.ReportAge.Round(time.Millisecond), "heard", state.Heard, "vms", state.Total}
}
