package design

import (
	. "goa.design/goa/v3/dsl" //lint:ignore ST1001 the DSL is meant to be read unqualified
)

// EntryVM is one entry VM that a caller may use.
var EntryVM = Type("EntryVM", func() {
	Attribute("vm", String, "Name of the entry VM.")
	Attribute("zone", String, "Availability zone of the entry VM.")
	Attribute("address", String, "host:port for requests.")
	Required("vm", "zone", "address")
})

var _ = Service("caller", func() {
	Description("Look-ups and tickets for callers.")
	Error("refused", Refusal, "The call was refused and nothing ran.")
	Error("unavailable", Refusal, "The entry VM can't answer now; try another.")
	HTTP(func() {
		Response("refused", StatusUnprocessableEntity)
		Response("unavailable", StatusServiceUnavailable)
	})

	Method("lookup", func() {
		Description("Answer which entry VMs a client should use, best first.")
		Payload(func() {
			Attribute("account", String, "Client account.")
			Attribute("service", String, "Service.")
			Attribute("client", String, "IP address of the client.")
			Required("account", "service", "client")
		})
		Result(func() {
			Attribute("entries", ArrayOf(EntryVM), "Entry VMs, best first.")
			Attribute("ttl_ms", Int64, "How long the answer may be cached, in milliseconds.")
			Attribute("revision", UInt64, "Configuration revision the answer was made from.")
			Required("entries", "ttl_ms", "revision")
		})
		HTTP(func() {
			GET("/v1/lookup")
			Param("account")
			Param("service")
			Param("client")
			Response(StatusOK)
		})
	})

	Method("ticket", func() {
		Description("Issue a ticket for one non-idempotent request.")
		Payload(func() {
			Attribute("account", String, "Client account.")
			Attribute("service", String, "Service.")
			Required("account", "service")
		})
		Result(func() {
			Attribute("ticket", String, "Opaque ticket for the Fuchsiaspar-Ticket header.")
			Attribute("expires_in_ms", Int64, "Remaining validity in milliseconds.")
			Required("ticket", "expires_in_ms")
		})
		HTTP(func() {
			POST("/v1/tickets")
			Response(StatusCreated)
		})
	})

	Method("seal", func() {
		Description("Make sure that the request of a ticket never begins, or tell its outcome if it has begun.")
		Payload(func() {
			Attribute("ticket", String, "Ticket to seal.")
			Required("ticket")
		})
		Result(func() {
			Attribute("outcome", String, "ran, not-run or unknown; not-run is final.")
			Attribute("reason", String, "Typed reason of an unknown outcome.")
			Required("outcome", "reason")
		})
		HTTP(func() {
			POST("/v1/tickets/seal")
			Response(StatusOK)
		})
	})
})
