package design

import (
	. "goa.design/goa/v3/dsl" //lint:ignore ST1001 goa's DSL is designed for dot imports
)

// EntryVM is an entry VM that a caller may send requests to.
var EntryVM = Type("EntryVM", func() {
	Attribute("vm", String, "Name of the entry VM.")
	Attribute("zone", String, "Availability zone of the entry VM.")
	Attribute("address", String, "host:port that accepts requests.")
	Required("vm", "zone", "address")
})

var _ = Service("caller", func() {
	Description("Lookups and tickets for callers.")
	Error("refused", Refusal, "The call was refused and had no effect.")
	Error("unavailable", Refusal, "The entry VM is temporarily unable to serve the call; try another one.")
	HTTP(func() {
		Response("refused", StatusUnprocessableEntity)
		Response("unavailable", StatusServiceUnavailable)
	})

	Method("lookup", func() {
		Description("Return the entry VMs that a client should use, best first.")
		Payload(func() {
			Attribute("account", String, "ID of the client account.")
			Attribute("service", String, "Service name.")
			Attribute("client", String, "IP address of the client.")
			Required("account", "service", "client")
		})
		Result(func() {
			Attribute("entries", ArrayOf(EntryVM), "Entry VMs, best first.")
			Attribute("ttl_ms", Int64, "How long the result may be cached, in milliseconds.")
			Attribute("revision", UInt64, "Configuration revision that the result is based on.")
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
			Attribute("account", String, "ID of the client account.")
			Attribute("service", String, "Service name.")
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
		Description("Prevent a ticket's request from starting, or report its outcome if it has started.")
		Payload(func() {
			Attribute("ticket", String, "Ticket to seal.")
			Required("ticket")
		})
		Result(func() {
			Attribute("outcome", String, "ran, not-run or unknown. After not-run, the request can never start.")
			Attribute("reason", String, "Reason code if the outcome is unknown.")
			Required("outcome", "reason")
		})
		HTTP(func() {
			POST("/v1/tickets/seal")
			Response(StatusOK)
		})
	})
})
