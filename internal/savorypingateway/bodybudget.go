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

// readSized reads a body whose length is known; it is negative if it isn't. It reserves the memory before
// it reads anything. The error wraps errBodyTooLong if the body exceeds a limit, and errBodyBudget too if
// that is the limit of all bodies.
func (b *bodyReader) readSized(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return b.read(r)
	}
	if length > b.limit {
		return nil, fmt.Errorf("%w: %d bytes", errBodyTooLong, length)
	}
	if err := b.reserve(length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	return body, nil
}

// read reads a whole body. The error wraps errBodyTooLong if the body exceeds a limit, and errBodyBudget
// too if that is the limit of all bodies.
func (b *bodyReader) read(r io.Reader) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := b.grow(body)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, savorypinpool.ClassifyReadError(err)
		}
	}
}

// grow returns a copy of a body with a larger capacity.
func (b *bodyReader) grow(body []byte) ([]byte, error) {
	growth := int(min(int64(max(minBodyGrowth, len(body))), b.limit+1-int64(len(body))))
	if growth <= 0 {
		return nil, fmt.Errorf("%w: over %d bytes", errBodyTooLong, b.limit)
	}
	if err := b.reserve(int64(growth)); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), len(body)+growth)
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
