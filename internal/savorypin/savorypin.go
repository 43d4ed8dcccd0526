// Package savorypin holds the types that all parts of the system share: ids,
// tokens, configuration objects, members and errors. It does no I/O.
package savorypin
