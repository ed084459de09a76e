package quota

import (
	"github.com/uber-go/tally/v4"
)

// metrics has the metrics of a Service.
type metrics struct {
	scope   tally.Scope
	replies map[GrantStatus]tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("quota")
	m := &metrics{scope: scope, replies: make(map[GrantStatus]tally.Counter)}
	for status, name := range statusNames {
		m.replies[status] = scope.Tagged(map[string]string{"status": name}).Counter("grant_replies")
	}
	return m
}

// statusNames has the values of the status tag.
var statusNames = map[GrantStatus]string{
	GrantServed:      "served",
	GrantSettling:    "settling",
	GrantUnconfirmed: "unconfirmed",
	GrantNotHolder:   "not_holder",
}

// String returns the value of the status tag for s, or "invalid".
func (s GrantStatus) String() string {
	if name, ok := statusNames[s]; ok {
		return name
	}
	return "invalid"
}

func (m *metrics) countReply(s GrantStatus) {
	if c, ok := m.replies[s]; ok {
		c.Inc(1)
	}
}

func (m *metrics) countCallFailure(err error) {
	m.scope.Tagged(map[string]string{"reason": failureReason(err)}).Counter("grant_call_failures").Inc(1)
}

func (m *metrics) countStoreFailure(op string, err error) {
	tags := map[string]string{"op": op, "reason": failureReason(err)}
	m.scope.Tagged(tags).Counter("store_failures").Inc(1)
}

func (m *metrics) setLeaseHeld(id lenderID, holds bool) {
	value := 0.0
	if holds {
		value = 1
	}
	m.scope.Tagged(map[string]string{"lease": id.key()}).Gauge("lender").Update(value)
}
