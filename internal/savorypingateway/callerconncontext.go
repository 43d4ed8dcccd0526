package savorypingateway

import (
	"context"
	"net"
	"net/http"
)

// callerConnKey is the key of the caller's connection in the context of a request.
type callerConnKey struct{}

// withCallerConn adds the connection to the context of the requests on it.
func withCallerConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, nc)
}

// callerConnOf returns the connection of a request's caller; nil if its writes can't be queued.
func callerConnOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(callerConnKey{}).(*callerConn)
	return c
}
