package node

import (
	"net/http"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/intake"
)

// NameIntake is the name under which the guard of the listeners is registered.
const NameIntake = "front.intake"

// maxSeedResponses bounds the responses to starting VMs that are made at once. Each holds
// a copy of the store's items, up to maxSeedBytes.
const maxSeedResponses = 2

// seedWriteTimeout bounds the time to send such a response. The client waits for
// seedTimeout.
const seedWriteTimeout = 2 * seedTimeout

// registerIntake creates the budgets for what clients make this VM hold.
func (b *assembly) registerIntake() error {
	limits := intake.NewLimits(b.settings.Limits.MemoryMB, intake.UsableDescriptors(b.settings.Limits.MaxDescriptors))
	b.guard = intake.NewGuard(limits, b.node.log, b.metrics.Scope)
	b.serverBytes = intake.NewServerBytes()
	b.client.SetMaxConnections(limits.ServerConnections)
	return b.register(NameIntake, b.guard)
}

// setOperatorLimits applies the limits in the operator's configuration, if it is known.
func (b *assembly) setOperatorLimits(config *catalog.Config) {
	if config == nil {
		return
	}
	limits := config.Limits
	b.guard.SetOperator(intake.Operator{
		HeaderBytes: limits.MaxHeaderBytes, HeaderTime: limits.HeaderTimeout, IdleTime: limits.IdleTimeout,
	})
	b.serverBytes.SetMaxBody(limits.MaxBodyBytes)
}

// add adds the server of an address, whose connections are accounted as those of kind.
func (s *listeners) add(address string, server *http.Server, kind intake.Listener) {
	s.guard.Configure(server)
	s.byAddress[address] = server
	s.kinds[address] = kind
}

// limitConcurrency returns a handler that serves at most maxSeedResponses requests at
// once and refuses others. A starting VM asks the next of its seeds.
func limitConcurrency(inner http.Handler) http.Handler {
	slots := make(chan struct{}, maxSeedResponses)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			// A client that does not read must not occupy the slot. If this fails, so does
			// writing.
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(seedWriteTimeout))
			inner.ServeHTTP(w, r)
		default:
			http.Error(w, "busy", http.StatusServiceUnavailable)
		}
	})
}
