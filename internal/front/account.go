package front

import (
	"net/http"
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
