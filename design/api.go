// Package design defines the caller and operator HTTP APIs of fuchsiaspard in
// goa's DSL. The code and API documents under gen are generated from it by
// running goa gen.
package design

import (
	. "goa.design/goa/v3/dsl" //lint:ignore ST1001 goa's DSL is designed for dot imports
)

var _ = API("fuchsiaspar", func() {
	Title("fuchsiaspar")
	Description("Global traffic steering: lookups and tickets for callers; configuration, status and explanations for operators.")
	Version("1.0")
})

// Refusal is the body of every failed call of the caller API.
var Refusal = Type("Refusal", func() {
	Description("Reason for the refusal of a call.")
	ErrorName("name", String, "Name of the error.")
	Attribute("reason", String, "Reason code, identical to the Fuchsiaspar-Reason header.")
	Attribute("message", String, "What went wrong and how to resolve it.")
	Required("name", "reason", "message")
})
