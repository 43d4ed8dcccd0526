package savorypindesign

import (
	"net/http"
)

// errorKind is an error kind with its HTTP status.
type errorKind struct {
	name   string
	status int
}

// errorKinds lists the error kinds of the API in sorted order.
var errorKinds = []errorKind{
	{name: "conflict", status: http.StatusConflict},
	{name: "incomplete", status: http.StatusBadGateway},
	{name: "invalid", status: http.StatusBadRequest},
	{name: "limited", status: http.StatusTooManyRequests},
	{name: "not_found", status: http.StatusNotFound},
	{name: "not_run", status: http.StatusServiceUnavailable},
	{name: "unauthorized", status: http.StatusUnauthorized},
	{name: "unknown", status: http.StatusGatewayTimeout},
	{name: "unreachable", status: http.StatusServiceUnavailable},
}
