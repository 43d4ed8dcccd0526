// Package savorypindesign holds the goa design of the HTTP API that callers
// and operators use. The code generated from it is committed under
// internal/savorypinapi/gen; docs/developers.md gives the command.
package savorypindesign

import (
	. "goa.design/goa/v3/dsl" //nolint:revive,staticcheck // The goa DSL is meant to be dot-imported.
)

var _ = API("savorypin", func() {
	Title("Savorypin")
	Description("Serves long generations and plain calls on endpoints that may fail.")
})

// failure is the error body of all methods of the API.
var failure = Type("Failure", func() {
	Description("The typed error that every method returns.")
	ErrorName("kind", String, "Kind of the error, which determines what the caller may do next.", func() {
		Enum("conflict", "incomplete", "invalid", "limited", "not_found", "not_run", "unauthorized", "unknown", "unreachable")
	})
	Attribute("message", String, "Error message, which names the object.")
	Attribute("object", String, "Object that the error is about.")
	Attribute("retry_after", Int, "Seconds to wait before a retry.")
	Required("kind", "message")
})

// tokenEvent is one event of a streamed answer.
var tokenEvent = Type("TokenEvent", func() {
	Description("One event of a generation: a token, or the end of the answer.")
	Attribute("id", String, "Generation id and the index after this event, for Last-Event-ID.")
	Attribute("event", String, "Type of the event.", func() {
		Enum("accepted", "done", "error", "token")
	})
	Attribute("data", String, "JSON body of the event.")
	Required("id", "event", "data")
})

var generation = Type("Generation", func() {
	Description("A complete answer.")
	Attribute("id", String, "Generation id.")
	Attribute("version", String, "Version that produced the answer.")
	Attribute("attempts", Int, "Attempts that were made.")
	Attribute("finish_reason", String, "Why the answer ended.")
	Attribute("text", String, "The text of the answer.")
	Attribute("tokens", ArrayOf(Int), "Token ids of the answer.")
	Required("id", "version", "attempts", "finish_reason", "text", "tokens")
})

// requestAttributes declares the attributes of a request for a generation.
var requestAttributes = func() {
	Attribute("service", String, "Service that generates the answer.", func() { MaxLength(63) })
	Attribute("route", String, "Route of the service.", func() { MaxLength(63) })
	Attribute("prompt", String, "Prompt.", func() { MaxLength(1 << 20) })
	Attribute("max_tokens", Int, "Maximum number of tokens to generate.", func() {
		Minimum(1)
		Maximum(1 << 17)
	})
	Attribute("seed", Int64, "Seed of the sampler.")
	Attribute("temperature", Float64, "Sampling temperature.", func() {
		Minimum(0)
		Maximum(2)
	})
	Attribute("timeout_ms", Int, "How long the caller waits for the complete answer, in milliseconds.", func() {
		Minimum(1)
	})
	Attribute("authorization", String, "Bearer token of the organisation.")
	Required("service", "prompt", "max_tokens")
}

// declareErrors declares the errors that every method of a service may return.
func declareErrors() {
	for _, kind := range errorKinds {
		Error(kind.name, failure)
	}
	HTTP(func() {
		for _, kind := range errorKinds {
			Response(kind.name, kind.status, func() {
				Header("retry_after:Retry-After")
			})
		}
	})
}

var _ = Service("caller", func() {
	Description("API for callers.")
	declareErrors()

	Method("generate", func() {
		Description("Generates an answer and returns it when it is complete.")
		Payload(requestAttributes)
		Result(generation)
		HTTP(func() {
			POST("/v1/generations")
			Header("authorization:Authorization")
		})
	})

	Method("stream", func() {
		Description("Generates an answer and streams it as server-sent events.")
		Payload(requestAttributes)
		StreamingResult(tokenEvent)
		HTTP(func() {
			POST("/v1/generations/stream")
			Header("authorization:Authorization")
			ServerSentEvents(func() {
				SSEEventID("id")
				SSEEventType("event")
				SSEEventData("data")
			})
		})
	})

	Method("resume", func() {
		Description("Continues an answer after the tokens that the caller already has, when no agent has its generation any more.")
		Payload(func() {
			requestAttributes()
			Attribute("version", String, "Version that produced the tokens.", func() { MaxLength(63) })
			Attribute("delivered", ArrayOf(Int32), "Ids of the tokens that the caller already has.", func() {
				MinLength(1)
				MaxLength(1 << 17)
			})
			Required("version", "delivered")
		})
		StreamingResult(tokenEvent)
		HTTP(func() {
			POST("/v1/generations/resume")
			Header("authorization:Authorization")
			ServerSentEvents(func() {
				SSEEventID("id")
				SSEEventType("event")
				SSEEventData("data")
			})
		})
	})

	Method("attach", func() {
		Description("Reconnects to the stream of a generation after the last event that the caller received.")
		Payload(func() {
			Attribute("id", String, "Generation id.")
			Attribute("LastEventID", String, "Id of the last event that the caller received.")
			Attribute("authorization", String, "Bearer token of the organisation.")
			Required("id")
		})
		StreamingResult(tokenEvent)
		HTTP(func() {
			GET("/v1/generations/{id}/stream")
			Header("authorization:Authorization")
			Param("LastEventID:last_event_id")
			ServerSentEvents(func() {
				SSERequestID("LastEventID")
				SSEEventID("id")
				SSEEventType("event")
				SSEEventData("data")
			})
		})
	})

	Method("cancel", func() {
		Description("Cancels a generation and frees its resources.")
		Payload(func() {
			Attribute("id", String, "Generation id.")
			Attribute("authorization", String, "Bearer token of the organisation.")
			Required("id")
		})
		HTTP(func() {
			DELETE("/v1/generations/{id}")
			Header("authorization:Authorization")
			Response(StatusNoContent)
		})
	})

	Method("call", func() {
		Description("Calls a plain service. A route that is not idempotent needs an Idempotency-Key and runs at most once for each key.")
		Payload(func() {
			Attribute("service", String, "Service to call.", func() { MaxLength(63) })
			Attribute("route", String, "Route of the service.", func() { MaxLength(63) })
			Attribute("key", String, "Idempotency key.", func() { MaxLength(128) })
			Attribute("timeout_ms", Int, "How long the caller waits, in milliseconds.", func() { Minimum(1) })
			Attribute("authorization", String, "Bearer token of the organisation.")
			Required("service", "route")
		})
		Result(func() {
			Attribute("content_type", String, "Content type of the answer.")
			Attribute("replayed", Boolean, "Whether the answer is that of an earlier call with the same key.")
		})
		HTTP(func() {
			POST("/v1/services/{service}/{route}")
			Header("authorization:Authorization")
			Header("key:Idempotency-Key")
			Header("timeout_ms:X-Timeout-Ms")
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("content_type:Content-Type")
				Header("replayed:Idempotent-Replayed")
			})
		})
	})

	Method("outcome", func() {
		Description("Returns the outcome of an idempotency key: done, not_run or unknown. If no call with the key has run, the request closes the key: no later call with it runs, so that not_run stays true.")
		Payload(func() {
			Attribute("service", String, "Service of the key.", func() { MaxLength(63) })
			Attribute("key", String, "Idempotency key.", func() { MaxLength(128) })
			Attribute("authorization", String, "Bearer token of the organisation.")
			Required("service", "key")
		})
		Result(func() {
			Attribute("outcome", String, "Outcome of the key.", func() {
				Enum("done", "not_run", "unknown")
			})
			Attribute("status", Int, "HTTP status that the service answered with.")
			Attribute("body", String, "Body that the service answered with.")
			Required("outcome")
		})
		HTTP(func() {
			GET("/v1/outcomes/{service}/{key}")
			Header("authorization:Authorization")
		})
	})

	Method("live", func() {
		Description("Reports that the process is running.")
		HTTP(func() {
			GET("/healthz")
			Response(StatusNoContent)
		})
	})

	Method("ready", func() {
		Description("Reports whether the load balancer may send requests to this daemon.")
		HTTP(func() {
			GET("/readyz")
			Response(StatusNoContent)
		})
	})
})

var object = Type("Object", func() {
	Description("A configuration object as an operator writes it and as the platform stores it.")
	Attribute("kind", String, "Kind of the object.")
	Attribute("name", String, "Name of the object.")
	Attribute("version", Int64, "Version that the platform assigned; 0 if the operator states none.")
	Attribute("by", String, "Operator who wrote this version.")
	Attribute("at", String, "Time of the order, RFC 3339.")
	Attribute("order", String, "Order id of the write.")
	Attribute("spec", Any, "Configuration that the operator wrote.")
	Attribute("status", Any, "State that the system reports.")
	Required("kind", "name")
})

var _ = Service("operator", func() {
	Description("API for operators.")
	declareErrors()

	Method("apply", func() {
		Description("Creates or replaces one object.")
		Payload(func() {
			Attribute("authorization", String, "Bearer token of the operators.")
			Attribute("object", object)
			Attribute("dry_run", Boolean, "Validate the object without writing it.")
			Required("object")
		})
		Result(object)
		HTTP(func() {
			POST("/operator/v1/objects")
			Header("authorization:Authorization")
			Param("dry_run")
			Body("object")
		})
	})

	Method("remove", func() {
		Description("Deletes one object.")
		Payload(func() {
			Attribute("authorization", String, "Bearer token of the operators.")
			Attribute("kind", String, "Kind of the object.")
			Attribute("name", String, "Name of the object.")
			Attribute("by", String, "Operator who deletes the object.")
			Attribute("order", String, "Order id of the deletion.")
			Required("kind", "name")
		})
		HTTP(func() {
			DELETE("/operator/v1/objects/{kind}/{name}")
			Header("authorization:Authorization")
			Param("by")
			Param("order")
			Response(StatusNoContent)
		})
	})

	Method("list", func() {
		Description("Lists the objects in force at this daemon.")
		Payload(func() {
			Attribute("authorization", String, "Bearer token of the operators.")
			Attribute("kind", String, "Kind to list; all kinds if empty.")
			Attribute("name", String, "Name to list; all names if empty.")
		})
		Result(ArrayOf(object))
		HTTP(func() {
			GET("/operator/v1/objects")
			Header("authorization:Authorization")
			Param("kind")
			Param("name")
		})
	})

	Method("force", func() {
		Description("Reports which members have a version of an object in force.")
		Payload(func() {
			Attribute("authorization", String, "Bearer token of the operators.")
			Attribute("kind", String, "Kind of the object.")
			Attribute("name", String, "Name of the object.")
			Attribute("version", Int64, "Version that should be in force.")
			Required("kind", "name", "version")
		})
		Result(func() {
			Attribute("members", Int, "Number of members that this daemon knows.")
			Attribute("in_force", Int, "Number of members that report the version or a newer one.")
			Attribute("lagging", ArrayOf(String), "Members that report an older version.")
			Attribute("unreachable", ArrayOf(String), "Members that do not report.")
			Required("members", "in_force", "lagging", "unreachable")
		})
		HTTP(func() {
			GET("/operator/v1/force/{kind}/{name}/{version}")
			Header("authorization:Authorization")
		})
	})

	Method("stop", func() {
		Description("Orders a planned stop of a member.")
		Payload(func() {
			Attribute("authorization", String, "Bearer token of the operators.")
			Attribute("member", String, "Member to stop.")
			Attribute("by", String, "Operator who orders the stop.")
			Required("member")
		})
		HTTP(func() {
			POST("/operator/v1/stop/{member}")
			Header("authorization:Authorization")
			Param("by")
			Response(StatusAccepted)
		})
	})

	Method("state", func() {
		Description("Dumps the state of this daemon.")
		Payload(func() {
			Attribute("authorization", String, "Bearer token of the operators.")
		})
		Result(Any)
		HTTP(func() {
			GET("/state")
			Header("authorization:Authorization")
		})
	})
})
