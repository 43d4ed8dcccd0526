package savorypingateway

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"savorypin/internal/savorypinpool"
)

// Limits of buffered bodies.
const (
	// maxResponseBodyBytes limits one response body.
	maxResponseBodyBytes = 4 << 20
	// responseMemoryRatio and requestMemoryRatio are the fractions of the memory limit that all response
	// bodies and all request bodies may use. Without a memory limit each may use defaultBodyBudgetBytes.
	responseMemoryRatio    = 0.25
	requestMemoryRatio     = 0.125
	defaultBodyBudgetBytes = 256 << 20
	// minBodyGrowth is the minimum number of bytes by which a body's buffer grows.
	minBodyGrowth = 16 << 10
)

var (
	// errBodyTooLong means that a body, such as an endless one, exceeds a limit.
	errBodyTooLong = errors.New("body is too long")
	// errBodyBudget means that the limit is that of all bodies together.
	errBodyBudget = errors.New("memory budget of all bodies is used up")
)

// bodyBudget limits the memory of all buffered bodies of a direction. It is safe for concurrent use.
type bodyBudget struct {
	remaining atomic.Int64
}

// newBodyBudget returns a budget of a fraction of the memory limit, which is zero if there is none.
func newBodyBudget(memory int64, ratio float64) *bodyBudget {
	b := &bodyBudget{}
	b.remaining.Store(defaultBodyBudgetBytes)
	if memory > 0 {
		b.remaining.Store(int64(ratio * float64(memory)))
	}
	return b
}

// reserve reserves n bytes. It returns false if fewer are available.
func (b *bodyBudget) reserve(n int64) bool {
	if b.remaining.Add(-n) >= 0 {
		return true
	}
	b.remaining.Add(n)
	return false
}

// bodyReader buffers bodies of one request.
type bodyReader struct {
	budget *bodyBudget
	// limit is the maximum number of bytes of a body.
	limit    int64
	reserved int64
}

// unknownLength is the length of a body whose head doesn't name it.
const unknownLength = -1

// read reads a whole body, given its length or unknownLength. The error wraps errBodyTooLong if the body
// exceeds a limit, and errBodyBudget too if that is the limit of all bodies. A length that exceeds it is
// refused before anything is read; the memory is reserved as the body arrives, so that a slow one doesn't
// keep it from others.
func (b *bodyReader) read(r io.Reader, length int64) ([]byte, error) {
	if err := b.check(length); err != nil {
		return nil, err
	}
	var body []byte
	for int64(len(body)) != length {
		if len(body) == cap(body) {
			grown, err := b.grow(body, length)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF) && length > int64(len(body)):
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, savorypinpool.ClassifyReadError(err)
		}
	}
	return body, nil
}

// check returns the error of read for a body whose length exceeds a limit.
func (b *bodyReader) check(length int64) error {
	if length > b.limit {
		return fmt.Errorf("%w: %d bytes", errBodyTooLong, length)
	}
	if length > b.budget.remaining.Load() {
		return fmt.Errorf("%w: %w: %d bytes", errBodyTooLong, errBodyBudget, length)
	}
	return nil
}

// grow returns a copy of a body with a larger capacity, up to its length if that is known.
func (b *bodyReader) grow(body []byte, length int64) ([]byte, error) {
	end := b.limit + 1
	if length != unknownLength {
		end = length
	}
	growth := min(int64(max(minBodyGrowth, len(body))), end-int64(len(body)))
	if growth <= 0 {
		return nil, fmt.Errorf("%w: over %d bytes", errBodyTooLong, b.limit)
	}
	if err := b.reserve(growth); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), len(body)+int(growth))
	copy(grown, body)
	return grown, nil
}

// reserve reserves n bytes of the budget for this request.
func (b *bodyReader) reserve(n int64) error {
	if !b.budget.reserve(n) {
		return fmt.Errorf("%w: %w", errBodyTooLong, errBodyBudget)
	}
	b.reserved += n
	return nil
}

// release returns the reserved memory to the budget.
func (b *bodyReader) release() {
	b.budget.remaining.Add(b.reserved)
	b.reserved = 0
}
