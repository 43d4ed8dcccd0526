package savorypin

import (
	"errors"
	"fmt"
	"time"
)

// ErrorKind says what the receiver of an error may do next.
type ErrorKind string

// The error kinds that callers and operators see.
const (
	// KindConflict means that the object has changed since it was read.
	KindConflict ErrorKind = "conflict"
	// KindIncomplete means that an answer began and cannot be finished.
	KindIncomplete ErrorKind = "incomplete"
	// KindInvalid means that the request can never succeed as it stands.
	KindInvalid ErrorKind = "invalid"
	// KindLimited means that the organisation is over one of its limits.
	KindLimited ErrorKind = "limited"
	// KindNotFound means that the named object does not exist.
	KindNotFound ErrorKind = "not_found"
	// KindNotRun means that no endpoint has run the request or ever will.
	KindNotRun ErrorKind = "not_run"
	// KindUnauthorized means that the bearer token is missing or not accepted.
	KindUnauthorized ErrorKind = "unauthorized"
	// KindUnknown means that an endpoint may have run the request.
	KindUnknown ErrorKind = "unknown"
	// KindUnreachable means that a peer did not answer.
	KindUnreachable ErrorKind = "unreachable"
)

// Error is the error type that daemons return to callers and operators. Packages
// that talk to a peer define their own errors, which the daemons translate to this
// type.
type Error struct {
	// Kind says what the receiver may do next.
	Kind ErrorKind
	// Object names what the error is about.
	Object string
	// RetryAfter is how long to wait before a retry; zero if that is not known.
	RetryAfter time.Duration
	// Err is the cause.
	Err error
}

// Error returns the text of the error, which names the object.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Detail()
}

// Detail returns the text of the error without its kind, for messages that
// carry the kind in a field of its own.
func (e *Error) Detail() string {
	if e.Object == "" {
		return fmt.Sprint(e.Err)
	}
	return fmt.Sprintf("%s: %v", e.Object, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Errorf returns an Error of a kind about an object.
func Errorf(kind ErrorKind, object, format string, args ...any) *Error {
	return &Error{
		Kind:   kind,
		Object: object,
		Err:    fmt.Errorf(format, args...),
	}
}

// WithRetryAfter returns a copy of e with the time to wait before a retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// KindOf returns the kind of err, or KindUnknown if err does not wrap an Error.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}

// RetryAfterSecondsOf returns the time to wait before a retry in seconds, rounded
// up; zero if err has none.
func RetryAfterSecondsOf(err error) int {
	var e *Error
	if !errors.As(err, &e) {
		return 0
	}
	return int((e.RetryAfter + time.Second - 1) / time.Second)
}
