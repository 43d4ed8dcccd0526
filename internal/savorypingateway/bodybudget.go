package savorypingateway

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"savorypin/internal/savorypinpool"
)

// Limits of buffered response bodies.
const (
	// maxResponseBodyBytes limits one body.
	maxResponseBodyBytes = 4 << 20
	// bodyBudgetMemoryRatio is the fraction of the memory limit that all bodies together may use.
	// Without a memory limit they may use defaultBodyBudgetBytes.
	bodyBudgetMemoryRatio  = 0.25
	defaultBodyBudgetBytes = 256 << 20
	// minBodyGrowth is the minimum number of bytes by which a body's buffer grows.
	minBodyGrowth = 16 << 10
)

// errBodyTooLong means that a body, such as an endless one, exceeds the limit of one body or of
// all together.
var errBodyTooLong = errors.New("answer is too long")

// bodyBudget limits the memory of all buffered response bodies. It is safe for concurrent use.
type bodyBudget struct {
	remaining atomic.Int64
}

func newBodyBudget(memory int64) *bodyBudget {
	b := &bodyBudget{}
	b.remaining.Store(defaultBodyBudgetBytes)
	if memory > 0 {
		b.remaining.Store(int64(bodyBudgetMemoryRatio * float64(memory)))
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

// bodyReader buffers the response bodies of one request.
type bodyReader struct {
	budget   *bodyBudget
	reserved int64
}

// read reads a whole body. The error wraps errBodyTooLong if the body exceeds a limit.
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
	growth := max(minBodyGrowth, len(body))
	if len(body)+growth > maxResponseBodyBytes {
		return nil, fmt.Errorf("%w: over %d bytes", errBodyTooLong, len(body))
	}
	if !b.budget.reserve(int64(growth)) {
		return nil, fmt.Errorf("%w: over %d bytes, and the memory budget of all bodies is used up", errBodyTooLong, len(body))
	}
	b.reserved += int64(growth)
	grown := make([]byte, len(body), len(body)+growth)
	copy(grown, body)
	return grown, nil
}

// release returns the reserved memory to the budget.
func (b *bodyReader) release() {
	b.budget.remaining.Add(b.reserved)
	b.reserved = 0
}
