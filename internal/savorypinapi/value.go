// Package savorypinapi has helpers for the services that are generated under gen.
package savorypinapi

// ValueOf returns what an optional attribute points to, or the zero value if
// it is absent.
func ValueOf[T any](v *T) T {
	if v == nil {
		var zero T
		return zero
	}
	return *v
}
