package savorypindesign

import (
	"net/http"
)

// kind pairs an error kind with the HTTP status that carries it.
type kind struct {
	name   string
	status int
}

// kinds lists the error kinds of the API in sorted order.
var kinds = []kind{
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
