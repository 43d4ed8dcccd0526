package savorypinmove

import (
	"math"
	"sync"
)

// RequestSampler selects the requests of one service at one entry that go to the new
// version of a move. It is safe for concurrent use.
//
// The shares of all requests are summed. Each interval of length 1 of the sum has one
// random point, and the request whose share covers the point goes to the new version.
// The number of requests to the new version thus exceeds the sum of the shares by at
// most one at any time, and their selection is still random, which the comparison with
// the old version requires. Independent draws would exceed the sum by several times
// its square root.
type RequestSampler struct {
	// Rand returns a uniform number in [0, 1).
	Rand func() float64

	mu sync.Mutex
	// charged is the number of charged requests that no share has offset yet.
	charged float64
	move    Key
	// point is the next random point.
	point float64
	sum   float64
}

// Sample reports whether a request goes to the new version of a move, given the new
// version's share (0 to 1).
func (s *RequestSampler) Sample(move Key, share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.move != move {
		s.move = move
		s.charged = 0
		s.sum = 0
		s.point = s.Rand()
	}
	if share >= 1 {
		return true
	}
	s.sum += s.offsetCharged(share)
	if s.sum <= s.point {
		return false
	}
	s.point = math.Floor(s.point) + 1 + s.Rand()
	return true
}

// Charge counts a request that the new version got without Sample, such as the resume of
// an answer that it began. The shares of later requests are reduced to offset it.
func (s *RequestSampler) Charge(move Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.move == move {
		s.charged++
	}
}

// offsetCharged offsets charged requests with a share as far as possible and returns the
// rest of the share. The caller holds s.mu.
func (s *RequestSampler) offsetCharged(share float64) float64 {
	offset := min(s.charged, share)
	s.charged -= offset
	return share - offset
}
