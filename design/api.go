// Package design describes the caller and operator APIs of fuchsiaspard. The
// code under gen is generated from it.
package design

import (
	. "goa.design/goa/v3/dsl" //lint:ignore ST1001 the DSL is meant to be read unqualified
)

var _ = API("fuchsiaspar", func() {
	Title("fuchsiaspar")
	Description("Global traffic steering: look-ups and tickets for callers, configuration and status for operators.")
	Version("1.0")
})

// Refusal is the body of every refused API call.
var Refusal = Type("Refusal", func() {
	Description("Why a call was refused.")
	ErrorName("name", String, "Name of the error.")
	Attribute("reason", String, "Typed reason, equal to the Fuchsiaspar-Reason header.")
	Attribute("message", String, "What was wrong and what to do next.")
	Required("name", "reason", "message")
})
