package savorypingateway

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"savorypin/internal/savorypinpool"
)

// Bounds of the answers that are held whole.
const (
	// answerBytes bounds one answer.
	answerBytes = 4 << 20
	// bodiesPart is the part of the memory that all of them may take together, and
	// bodiesBytes stands for it where the memory is not bounded.
	bodiesPart  = 0.25
	bodiesBytes = 256 << 20
	// bodyStep is by how much a body grows at the least.
	bodyStep = 16 << 10
)

// errTooLong means that a body is longer than may be held, as one without end is.
var errTooLong = errors.New("answer is too long")

// bodies bounds the memory of the answers that are held whole. It is safe for
// concurrent use.
type bodies struct {
	left atomic.Int64
}

func newBodies(memory int64) *bodies {
	b := &bodies{}
	b.left.Store(bodiesBytes)
	if memory > 0 {
		b.left.Store(int64(bodiesPart * float64(memory)))
	}
	return b
}

// take takes some bytes of what is left. It returns false if there are not so many.
func (b *bodies) take(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

// heldBodies are the bodies that are held for one request.
type heldBodies struct {
	all   *bodies
	bytes int64
}

// read reads a whole body. The error wraps errTooLong if it is longer than one may be
// or all may be together.
func (h *heldBodies) read(r io.Reader) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := h.grow(body)
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
			return nil, savorypinpool.ReadError(err)
		}
	}
}

// grow returns a body with room for more.
func (h *heldBodies) grow(body []byte) ([]byte, error) {
	more := max(bodyStep, len(body))
	if len(body)+more > answerBytes {
		return nil, fmt.Errorf("%w: over %d bytes", errTooLong, len(body))
	}
	if !h.all.take(int64(more)) {
		return nil, fmt.Errorf("%w: over %d bytes, and others are held", errTooLong, len(body))
	}
	h.bytes += int64(more)
	grown := make([]byte, len(body), len(body)+more)
	copy(grown, body)
	return grown, nil
}

// release gives the memory back.
func (h *heldBodies) release() {
	h.all.left.Add(h.bytes)
	h.bytes = 0
}
