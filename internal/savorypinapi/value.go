// Package savorypinapi helps the services of the generated APIs below it.
package savorypinapi

// ValueOf returns what an optional attribute points to, or the zero value if
// it is absent.
func ValueOf[T any](v *T) T {
	if v == nil {
		var none T
		return none
	}
	return *v
}
