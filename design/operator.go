package design

import (
	. "goa.design/goa/v3/dsl" //lint:ignore ST1001 goa's DSL is designed for dot imports
)

// Failure is the body of every failed call of the operator API.
var Failure = Type("Failure", func() {
	Description("Reason for the failure of an operator call.")
	ErrorName("name", String, "Name of the error.")
	Attribute("message", String, "What went wrong and how to resolve it.")
	Attribute("problems", ArrayOf(Problem), "All validation errors of an invalid change.")
	Attribute("refusals", ArrayOf(VMRefusal), "Entry VMs that refused the change.")
	Attribute("conflict", Conflict, "The conflicting change that was committed first.")
	Attribute("change_id", String, "ID of the change whose outcome is unknown.")
	Required("name", "message")
})

// Problem is a validation error of a change.
var Problem = Type("Problem", func() {
	Attribute("path", String, "Path of the invalid value.")
	Attribute("value", String, "The invalid value.")
	Attribute("allowed", String, "The values that are allowed.")
	Required("path", "value", "allowed")
})

// VMRefusal is the refusal of a change by an entry VM.
var VMRefusal = Type("VMRefusal", func() {
	Attribute("vm", String, "Name of the entry VM.")
	Attribute("zone", String, "Availability zone of the entry VM.")
	Attribute("reason", String, "Why the VM refused, and how to resolve it.")
	Required("vm", "zone", "reason")
})

// Conflict identifies an earlier committed change that edited the same part.
var Conflict = Type("Conflict", func() {
	Attribute("key", String, "Configuration part that both changes edit.")
	Attribute("base", UInt64, "Revision that the later change is based on.")
	Attribute("revision", UInt64, "Revision created by the earlier change.")
	Attribute("change_id", String, "ID of the earlier change.")
	Attribute("operator", String, "Operator who made the earlier change.")
	Required("key", "base", "revision", "change_id", "operator")
})

// ChangeRequest contains a configuration change.
var ChangeRequest = Type("ChangeRequest", func() {
	Attribute("text", String, "The change, or a complete document if whole is set.")
	Attribute("format", String, "Format of the text.", func() {
		Enum("toml", "json")
		Default("toml")
	})
	Attribute("whole", Boolean, "The text is a complete document that replaces the one in force.", func() {
		Default(false)
	})
	Attribute("id", String, "ID of the change, which makes retries safe: a change with the same ID is committed only once. Generated if absent.")
	Attribute("operator", String, "Operator who makes the change.")
	Attribute("base", UInt64, "Revision that the change is based on; defaults to the one in force.")
	Attribute("exclude_vms", ArrayOf(String), "Entry VMs that need not acknowledge the change.")
	Attribute("exclude_zones", ArrayOf(String), "Availability zones whose entry VMs need not acknowledge the change.")
	Required("text")
})

// Difference is a value that differs between two configuration documents.
var Difference = Type("Difference", func() {
	Attribute("path", String, "Path of the value.")
	Attribute("kind", String, "Kind of difference.", func() { Enum("added", "removed", "changed") })
	Attribute("old", String, "Old value.")
	Attribute("new", String, "New value.")
	Required("path", "kind")
})

// CommitInfo describes a committed change.
var CommitInfo = Type("CommitInfo", func() {
	Attribute("revision", UInt64, "Revision created by the change.")
	Attribute("change_id", String, "ID of the change.")
	Attribute("operator", String, "Operator who made the change.")
	Attribute("time", String, "Time of the commit, by the clock of the committing VM.", func() { Format(FormatDateTime) })
	Attribute("keys", ArrayOf(String), "Configuration parts that the change edited.")
	Attribute("excluded", ArrayOf(String), "Entry VMs that did not acknowledge the change: excluded, or known to be dead.")
	Required("revision", "change_id", "operator", "time", "keys")
})

// ServiceLoad is the load of one service's backend servers that an entry VM owns.
var ServiceLoad = Type("ServiceLoad", func() {
	Attribute("service", String, "Service name.")
	Attribute("slots", Int, "Number of requests that the servers can process concurrently.")
	Attribute("busy", Int, "Number of slots in use.")
	Attribute("queued", Int, "Number of queued requests.")
	Required("service", "slots", "busy", "queued")
})

// VMStatus is the status of an entry VM.
var VMStatus = Type("VMStatus", func() {
	Attribute("vm", String, "Name of the entry VM.")
	Attribute("zone", String, "Availability zone.")
	Attribute("region", String, "Region.")
	Attribute("state", String, "Membership state.", func() {
		Enum("alive", "suspect", "leaving", "dead", "unknown")
	})
	Attribute("incarnation", String, "Incarnation of the process running on the VM, in hexadecimal.")
	Attribute("address", String, "host:port of the VM.")
	Attribute("revision", UInt64, "Configuration revision in force.")
	Attribute("confirmed", Boolean, "The VM verified within the last seconds that its revision is the newest; otherwise it is isolated.")
	Attribute("answered", Boolean, "The VM responded to this query itself; otherwise the status is what other VMs know of it.")
	Attribute("load", ArrayOf(ServiceLoad), "Load per service.")
	Required("vm", "zone", "region", "state", "incarnation", "address", "revision", "confirmed", "answered")
})

// DrainStatus is a configured drain and its progress.
var DrainStatus = Type("DrainStatus", func() {
	Attribute("id", String, "Name of the drain.")
	Attribute("kind", String, "Kind of target.", func() { Enum("server", "entry", "zone", "region") })
	Attribute("target", String, "Name of the target.")
	Attribute("account", String, "Client account that the drain is limited to; absent means all.")
	Attribute("start", String, "Start time.", func() { Format(FormatDateTime) })
	Attribute("end", String, "End time.", func() { Format(FormatDateTime) })
	Attribute("phase", String, "Phase of the drain.", func() { Enum("planned", "draining", "drained", "ended") })
	Attribute("in_flight", Int, "Number of requests still running at the target.")
	Attribute("drained_ms", Int64, "Time from the start until the target was empty, in milliseconds; absent until then.")
	Required("id", "kind", "target", "start", "end", "phase", "in_flight")
})

// DecisionInfo is a decision made by an entry VM.
var DecisionInfo = Type("DecisionInfo", func() {
	Attribute("at", String, "Time of the decision.", func() { Format(FormatDateTime) })
	Attribute("vm", String, "Entry VM that made the decision.")
	Attribute("kind", String, "Kind of decision.")
	Attribute("reason", String, "Reason code.")
	Attribute("revision", UInt64, "Configuration revision in force.")
	Attribute("request", String, "ID of the attempt that the decision is about.")
	Attribute("account", String, "ID of the client account.")
	Attribute("service", String, "Service name.")
	Attribute("priority", String, "Priority.")
	Attribute("zone", String, "Availability zone.")
	Attribute("server", String, "Backend server.")
	Attribute("detail", String, "Values that the decision is based on.")
	Required("at", "vm", "kind", "revision")
})

var _ = Service("operator", func() {
	Description("Configuration, status and explanations for operators.")
	Error("invalid", Failure, "The call or the change is invalid; nothing was changed.")
	Error("not_found", Failure, "The requested object does not exist.")
	Error("refused", Failure, "Entry VMs refused the change; it was withdrawn.")
	Error("conflict", Failure, "Another change of the same part was committed first.")
	Error("unavailable", Failure, "The store or the entry VM is temporarily unable to serve the call.")
	Error("unresolved", Failure, "The outcome of the change is unknown.")
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
		Description("Return the status of all entry VMs known to the one that serves the call.")
		Result(func() {
			Attribute("answered_by", String, "Entry VM that served the call.")
			Attribute("revision", UInt64, "Configuration revision in force at that VM.")
			Attribute("confirmed", Boolean, "That VM verified within the last seconds that its revision is the newest.")
			Attribute("vms", ArrayOf(VMStatus), "Status of the entry VMs, sorted by name.")
			Required("answered_by", "revision", "confirmed", "vms")
		})
		HTTP(func() {
			GET("/status")
			Response(StatusOK)
		})
	})

	Method("show", func() {
		Description("Return the configuration in force, or that of another revision.")
		Payload(func() {
			Attribute("revision", UInt64, "Revision to return; defaults to the one in force.")
			Attribute("format", String, "Format of the text.", func() {
				Enum("toml", "json")
				Default("toml")
			})
		})
		Result(func() {
			Attribute("revision", UInt64, "Revision of the document.")
			Attribute("text", String, "The document in the requested format.")
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
		Description("Return the differences between two revisions.")
		Payload(func() {
			Attribute("from", UInt64, "Older revision.")
			Attribute("to", UInt64, "Newer revision; defaults to the one in force.")
			Required("from")
		})
		Result(func() {
			Attribute("from", UInt64, "Older revision.")
			Attribute("to", UInt64, "Newer revision.")
			Attribute("differences", ArrayOf(Difference), "Differences, sorted by path.")
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
		Description("Return the latest committed changes.")
		Payload(func() {
			Attribute("limit", Int, "Maximum number of changes.", func() {
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
		Description("Commit a change after all required entry VMs have acknowledged it.")
		Payload(ChangeRequest)
		Result(func() {
			Attribute("revision", UInt64, "Revision created by the change.")
			Attribute("change_id", String, "ID of the change.")
			Attribute("rebased", Boolean, "Other changes were committed after the base revision.")
			Attribute("pending", ArrayOf(String), "Entry VMs that have not yet reported the revision as in force.")
			Attribute("skipped", ArrayOf(String), "Entry VMs that did not acknowledge the change: excluded, or known to be dead.")
			Required("revision", "change_id", "rebased")
		})
		HTTP(func() {
			POST("/changes")
			Response(StatusOK)
		})
	})

	Method("dry_run", func() {
		Description("Report the effect of a change without committing it.")
		Payload(ChangeRequest)
		Result(func() {
			Attribute("base", UInt64, "Revision that the change would be applied to.")
			Attribute("ok", Boolean, "The change would succeed now.")
			Attribute("differences", ArrayOf(Difference), "Values that would change.")
			Attribute("problems", ArrayOf(Problem), "All validation errors of the change.")
			Attribute("conflict", Conflict, "The conflicting change that was committed first.")
			Attribute("required", ArrayOf(String), "Entry VMs that must acknowledge the change.")
			Attribute("skipped", ArrayOf(String), "Entry VMs that need not acknowledge the change: excluded, or known to be dead.")
			Attribute("refusals", ArrayOf(VMRefusal), "Refusals by entry VMs that would refuse the change now.")
			Required("base", "ok", "differences", "required")
		})
		HTTP(func() {
			POST("/changes/dry-run")
			Response(StatusOK)
		})
	})

	Method("drains", func() {
		Description("Return the configured drains and their progress.")
		Result(func() {
			Attribute("drains", ArrayOf(DrainStatus), "Drains, sorted by name.")
			Required("drains")
		})
		HTTP(func() {
			GET("/drains")
			Response(StatusOK)
		})
	})

	Method("explain", func() {
		Description("Return the recent decisions that match all given filters, newest first.")
		Payload(func() {
			Attribute("kind", String, "Kind of decision.")
			Attribute("reason", String, "Reason code.")
			Attribute("account", String, "ID of the client account.")
			Attribute("service", String, "Service name.")
			Attribute("zone", String, "Availability zone.")
			Attribute("request", String, "ID of the attempt.")
			Attribute("limit", Int, "Maximum number of decisions.", func() {
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
		Description("Return the result of a caller's lookup and its explanation.")
		Payload(func() {
			Attribute("account", String, "ID of the client account.")
			Attribute("service", String, "Service name.")
			Attribute("client", String, "IP address of the client.", func() { Format(FormatIP) })
			Required("account", "service", "client")
		})
		Result(func() {
			Attribute("entries", ArrayOf(EntryVM), "Entry VMs, best first.")
			Attribute("ttl_ms", Int64, "How long the result may be cached, in milliseconds.")
			Attribute("revision", UInt64, "Configuration revision that the result is based on.")
			Attribute("block", String, "Block of client addresses that matched.")
			Attribute("why", ArrayOf(String), "Reasons for the order of the entry VMs.")
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
