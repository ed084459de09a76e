package design

import (
	. "goa.design/goa/v3/dsl" //lint:ignore ST1001 the DSL is meant to be read unqualified
)

// Failure is the body of every refused operator call.
var Failure = Type("Failure", func() {
	Description("Why an operator call failed, and what to do next.")
	ErrorName("name", String, "Name of the error.")
	Attribute("message", String, "What was wrong and what to do next.")
	Attribute("problems", ArrayOf(Problem), "Every fault of an invalid change.")
	Attribute("refusals", ArrayOf(VMRefusal), "Entry VMs that refused the change.")
	Attribute("conflict", Conflict, "The change that came first.")
	Attribute("change_id", String, "ID of the change whose outcome is not known.")
	Required("name", "message")
})

// Problem is one fault of a change.
var Problem = Type("Problem", func() {
	Attribute("path", String, "Where the fault is.")
	Attribute("value", String, "What was found.")
	Attribute("allowed", String, "What is allowed there.")
	Required("path", "value", "allowed")
})

// VMRefusal is an entry VM's refusal of a change.
var VMRefusal = Type("VMRefusal", func() {
	Attribute("vm", String, "Entry VM.")
	Attribute("zone", String, "Availability zone of the entry VM.")
	Attribute("reason", String, "Why, and what to do next.")
	Required("vm", "zone", "reason")
})

// Conflict names a change that edited the same part first.
var Conflict = Type("Conflict", func() {
	Attribute("key", String, "Part that both changes edit.")
	Attribute("base", UInt64, "Revision that the later change was based on.")
	Attribute("revision", UInt64, "Revision of the earlier change.")
	Attribute("change_id", String, "ID of the earlier change.")
	Attribute("operator", String, "Operator of the earlier change.")
	Required("key", "base", "revision", "change_id", "operator")
})

// ChangeRequest carries a change of configuration.
var ChangeRequest = Type("ChangeRequest", func() {
	Attribute("text", String, "The change, or a whole document, in the given format.")
	Attribute("format", String, "Format of the text.", func() {
		Enum("toml", "json")
		Default("toml")
	})
	Attribute("whole", Boolean, "The text is a whole document that replaces the one in force.", func() {
		Default(false)
	})
	Attribute("id", String, "ID of the change; sending it again commits it once. Drawn when absent.")
	Attribute("operator", String, "Who makes the change.")
	Attribute("base", UInt64, "Revision that the operator looked at; absent means the one in force.")
	Attribute("exclude_vms", ArrayOf(String), "Entry VMs that need not acknowledge the change.")
	Attribute("exclude_zones", ArrayOf(String), "Availability zones that need not acknowledge the change.")
	Required("text")
})

// Difference is one value that differs between two documents.
var Difference = Type("Difference", func() {
	Attribute("path", String, "Where the value is.")
	Attribute("kind", String, "How it differs.", func() { Enum("added", "removed", "changed") })
	Attribute("old", String, "Value before.")
	Attribute("new", String, "Value after.")
	Required("path", "kind")
})

// CommitInfo describes a committed change.
var CommitInfo = Type("CommitInfo", func() {
	Attribute("revision", UInt64, "Revision that the change made.")
	Attribute("change_id", String, "ID of the change.")
	Attribute("operator", String, "Who made it.")
	Attribute("time", String, "When, by the committing VM's clock.", func() { Format(FormatDateTime) })
	Attribute("keys", ArrayOf(String), "Parts that it edited.")
	Attribute("excluded", ArrayOf(String), "Entry VMs that did not acknowledge it.")
	Required("revision", "change_id", "operator", "time", "keys")
})

// ServiceLoad is the load of the servers of one service that a VM owns.
var ServiceLoad = Type("ServiceLoad", func() {
	Attribute("service", String, "Service.")
	Attribute("slots", Int, "Requests that the servers can run at once.")
	Attribute("busy", Int, "Slots in use.")
	Attribute("queued", Int, "Requests that wait.")
	Required("service", "slots", "busy", "queued")
})

// VMStatus is the state of one entry VM.
var VMStatus = Type("VMStatus", func() {
	Attribute("vm", String, "Entry VM.")
	Attribute("zone", String, "Availability zone.")
	Attribute("region", String, "Region.")
	Attribute("state", String, "State of the member.", func() {
		Enum("alive", "suspect", "leaving", "dead", "unknown")
	})
	Attribute("incarnation", String, "Process that runs on the VM, in hexadecimal.")
	Attribute("address", String, "host:port of the VM.")
	Attribute("revision", UInt64, "Configuration revision in force.")
	Attribute("confirmed", Boolean, "The revision was known to be the newest within seconds; else the VM is isolated.")
	Attribute("answered", Boolean, "The VM answered this query itself; else the row is what others know of it.")
	Attribute("load", ArrayOf(ServiceLoad), "Load by service.")
	Required("vm", "zone", "region", "state", "incarnation", "address", "revision", "confirmed", "answered")
})

// DrainStatus is a planned drain with its progress.
var DrainStatus = Type("DrainStatus", func() {
	Attribute("id", String, "Name of the drain.")
	Attribute("kind", String, "What it empties.", func() { Enum("server", "entry", "zone", "region") })
	Attribute("target", String, "Name of what it empties.")
	Attribute("account", String, "Client account that it is limited to.")
	Attribute("start", String, "When it starts.", func() { Format(FormatDateTime) })
	Attribute("end", String, "When it ends.", func() { Format(FormatDateTime) })
	Attribute("phase", String, "Where it stands.", func() { Enum("planned", "draining", "drained", "ended") })
	Attribute("in_flight", Int, "Requests that still run at the target.")
	Attribute("drained_ms", Int64, "Time from the start until the target was empty, in milliseconds.")
	Required("id", "kind", "target", "start", "end", "phase", "in_flight")
})

// DecisionInfo is one decision of an entry VM.
var DecisionInfo = Type("DecisionInfo", func() {
	Attribute("at", String, "When.", func() { Format(FormatDateTime) })
	Attribute("vm", String, "Entry VM that decided.")
	Attribute("kind", String, "Kind of decision.")
	Attribute("reason", String, "Typed reason.")
	Attribute("revision", UInt64, "Configuration revision in force.")
	Attribute("request", String, "Attempt that it concerns.")
	Attribute("account", String, "Client account.")
	Attribute("service", String, "Service.")
	Attribute("priority", String, "Priority.")
	Attribute("zone", String, "Availability zone.")
	Attribute("server", String, "Backend server.")
	Attribute("detail", String, "The numbers that decided.")
	Required("at", "vm", "kind", "revision")
})

var _ = Service("operator", func() {
	Description("Configuration, status and explanations for operators.")
	Error("invalid", Failure, "The call or the change is invalid; nothing was changed.")
	Error("not_found", Failure, "What was asked for does not exist.")
	Error("refused", Failure, "Entry VMs refused the change; it was withdrawn.")
	Error("conflict", Failure, "Another change edited the same part first.")
	Error("unavailable", Failure, "The store or the entry VM can't serve this now.")
	Error("unresolved", Failure, "The outcome of the change is not known.")
	HTTP(func() {
		Path("/v1/operator")
		Response("invalid", StatusUnprocessableEntity)
		Response("not_found", StatusNotFound)
		Response("refused", StatusFailedDependency)
		Response("conflict", StatusConflict)
		Response("unavailable", StatusServiceUnavailable)
		Response("unresolved", StatusGatewayTimeout)
	})

	Method("status", func() {
		Description("State of every entry VM as this one can gather it.")
		Result(func() {
			Attribute("answered_by", String, "Entry VM that gathered the status.")
			Attribute("revision", UInt64, "Configuration revision in force there.")
			Attribute("confirmed", Boolean, "That revision is confirmed.")
			Attribute("vms", ArrayOf(VMStatus), "Entry VMs in order of names.")
			Required("answered_by", "revision", "confirmed", "vms")
		})
		HTTP(func() {
			GET("/status")
			Response(StatusOK)
		})
	})

	Method("show", func() {
		Description("The configuration in force, or an older revision.")
		Payload(func() {
			Attribute("revision", UInt64, "Revision; absent means the one in force.")
			Attribute("format", String, "Format of the text.", func() {
				Enum("toml", "json")
				Default("toml")
			})
		})
		Result(func() {
			Attribute("revision", UInt64, "Revision of the document.")
			Attribute("text", String, "The document in the format asked for.")
			Required("revision", "text")
		})
		HTTP(func() {
			GET("/config")
			Param("revision")
			Param("format")
			Response(StatusOK)
		})
	})

	Method("diff", func() {
		Description("What differs between two revisions.")
		Payload(func() {
			Attribute("from", UInt64, "Older revision.")
			Attribute("to", UInt64, "Newer revision; absent means the one in force.")
			Required("from")
		})
		Result(func() {
			Attribute("from", UInt64, "Older revision.")
			Attribute("to", UInt64, "Newer revision.")
			Attribute("differences", ArrayOf(Difference), "Differences in order of paths.")
			Required("from", "to", "differences")
		})
		HTTP(func() {
			GET("/config/diff")
			Param("from")
			Param("to")
			Response(StatusOK)
		})
	})

	Method("history", func() {
		Description("The newest committed changes.")
		Payload(func() {
			Attribute("limit", Int, "Greatest count of changes.", func() {
				Minimum(1)
				Maximum(1000)
				Default(20)
			})
		})
		Result(func() {
			Attribute("commits", ArrayOf(CommitInfo), "Changes, newest first.")
			Required("commits")
		})
		HTTP(func() {
			GET("/config/history")
			Param("limit")
			Response(StatusOK)
		})
	})

	Method("apply", func() {
		Description("Have a change acknowledged everywhere and commit it.")
		Payload(ChangeRequest)
		Result(func() {
			Attribute("revision", UInt64, "Revision that the change made.")
			Attribute("change_id", String, "ID of the change.")
			Attribute("rebased", Boolean, "Other changes were committed after its base.")
			Attribute("pending", ArrayOf(String), "Entry VMs not yet seen to have it in force.")
			Attribute("skipped", ArrayOf(String), "Entry VMs that need not acknowledge it.")
			Required("revision", "change_id", "rebased")
		})
		HTTP(func() {
			POST("/changes")
			Response(StatusOK)
		})
	})

	Method("dry_run", func() {
		Description("Say what a change would do without making it.")
		Payload(ChangeRequest)
		Result(func() {
			Attribute("base", UInt64, "Revision that the change would follow.")
			Attribute("ok", Boolean, "The change could be made now.")
			Attribute("differences", ArrayOf(Difference), "What would change.")
			Attribute("problems", ArrayOf(Problem), "Every fault of the change.")
			Attribute("conflict", Conflict, "The change that came first.")
			Attribute("required", ArrayOf(String), "Entry VMs that must acknowledge.")
			Attribute("skipped", ArrayOf(String), "Entry VMs that need not.")
			Attribute("refusals", ArrayOf(VMRefusal), "Entry VMs that would refuse now.")
			Required("base", "ok", "differences", "required")
		})
		HTTP(func() {
			POST("/changes/dry-run")
			Response(StatusOK)
		})
	})

	Method("drains", func() {
		Description("Planned drains with their progress.")
		Result(func() {
			Attribute("drains", ArrayOf(DrainStatus), "Drains in order of names.")
			Required("drains")
		})
		HTTP(func() {
			GET("/drains")
			Response(StatusOK)
		})
	})

	Method("explain", func() {
		Description("Recent decisions that match, newest first.")
		Payload(func() {
			Attribute("kind", String, "Kind of decision.")
			Attribute("reason", String, "Typed reason.")
			Attribute("account", String, "Client account.")
			Attribute("service", String, "Service.")
			Attribute("zone", String, "Availability zone.")
			Attribute("request", String, "Attempt.")
			Attribute("limit", Int, "Greatest count of decisions.", func() {
				Minimum(1)
				Maximum(1000)
				Default(50)
			})
		})
		Result(func() {
			Attribute("decisions", ArrayOf(DecisionInfo), "Decisions, newest first.")
			Required("decisions")
		})
		HTTP(func() {
			GET("/explain")
			Param("kind")
			Param("reason")
			Param("account")
			Param("service")
			Param("zone")
			Param("request")
			Param("limit")
			Response(StatusOK)
		})
	})

	Method("lookup", func() {
		Description("What a caller would be told, and why.")
		Payload(func() {
			Attribute("account", String, "Client account.")
			Attribute("service", String, "Service.")
			Attribute("client", String, "IP address of the client.", func() { Format(FormatIP) })
			Required("account", "service", "client")
		})
		Result(func() {
			Attribute("entries", ArrayOf(EntryVM), "Entry VMs, best first.")
			Attribute("ttl_ms", Int64, "How long the answer may be cached, in milliseconds.")
			Attribute("revision", UInt64, "Configuration revision the answer was made from.")
			Attribute("block", String, "Block of client addresses that matched.")
			Attribute("why", ArrayOf(String), "What decided the order.")
			Required("entries", "ttl_ms", "revision")
		})
		HTTP(func() {
			GET("/lookup")
			Param("account")
			Param("service")
			Param("client")
			Response(StatusOK)
		})
	})
})
