package savorypinmove

import (
	"math"
	"sync"
)

// Sharer holds the share of a new version over all work of one service at one
// entry. It is safe for concurrent use.
//
// The shares of all pieces of work are summed. In each unit of the sum lies one
// point, at random, and the piece of work that covers it goes to the new
// version. So the new version has had at most one piece more than the sum of
// the shares at any time, while which pieces it gets stays random, as the
// comparison with the old version demands. Independent draws would exceed the
// sum by several times its square root.
type Sharer struct {
	// Rand returns a uniform number in [0, 1).
	Rand func() float64

	mu    sync.Mutex
	debt  float64
	move  Key
	point float64
	sum   float64
}

// Take reports whether a piece of work goes to the new version of a move.
func (s *Sharer) Take(move Key, share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.move != move {
		s.move = move
		s.debt = 0
		s.sum = 0
		s.point = s.Rand()
	}
	if share >= 1 {
		return true
	}
	s.sum += s.repay(share)
	if s.sum <= s.point {
		return false
	}
	s.point = math.Floor(s.point) + 1 + s.Rand()
	return true
}

// Charge counts a piece of work that the new version got without Take, such as
// the resume of an answer that it began. Later work repays it.
func (s *Sharer) Charge(move Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.move == move {
		s.debt++
	}
}

// repay uses a share for the debt first and returns what is left of it. The
// caller holds s.mu.
func (s *Sharer) repay(share float64) float64 {
	paid := min(s.debt, share)
	s.debt -= paid
	return share - paid
}
