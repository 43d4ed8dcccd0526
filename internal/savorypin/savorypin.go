// Package savorypin holds the types that all parts of the system share: ids,
// tokens, configuration objects, members and errors. It knows no sockets.
package savorypin
