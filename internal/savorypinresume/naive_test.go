package savorypinresume_test

import (
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinresume"
)

// naiveStall is the gap after which the naive twin gives an attempt up.
const naiveStall = 2 * time.Second

// naive is the naive twin of the Machine: one attempt at a time, any loss ends
// it, and one fixed time-out stands for all that may be wrong.
type naive struct {
	avoided map[string]bool
	current savorypin.AttemptID
	ended   *savorypinresume.End
	heard   time.Time
	name    string
	retryAt time.Time
	tokens  []savorypin.Token
}

func (n *naive) decider() decider {
	n.avoided = map[string]bool{}
	place := []savorypinresume.Action{{Kind: savorypinresume.ActionPlace}}
	fail := func(id savorypin.AttemptID) []savorypinresume.Action {
		if id != n.current || n.ended != nil {
			return nil
		}
		n.current = savorypin.AttemptID{Number: n.current.Number}
		n.avoided[n.name] = true
		return append([]savorypinresume.Action{{Attempt: id, Kind: savorypinresume.ActionCancel}}, place...)
	}
	return decider{
		answer: func() []savorypin.Token { return n.tokens },
		avoid:  func() map[string]bool { return n.avoided },
		begin:  func() []savorypinresume.Action { return place },
		done: func(_ time.Time, id savorypin.AttemptID, length int, _ savorypin.FinishReason) []savorypinresume.Action {
			if id == n.current && length == len(n.tokens) {
				n.ended = &savorypinresume.End{}
			}
			return nil
		},
		end: func() *savorypinresume.End { return n.ended },
		failed: func(_ time.Time, id savorypin.AttemptID, _ savorypinresume.Cause, _ error) []savorypinresume.Action {
			return fail(id)
		},
		lost: func(_ time.Time, id savorypin.AttemptID) []savorypinresume.Action { return fail(id) },
		notPlaced: func(now time.Time) []savorypinresume.Action {
			n.avoided = map[string]bool{}
			n.retryAt = now.Add(100 * time.Millisecond)
			return nil
		},
		placed: func(now time.Time, name string, _ time.Duration) (savorypin.AttemptID, bool) {
			n.current = savorypin.AttemptID{Number: n.current.Number + 1, Term: 1}
			n.heard = now
			n.name = name
			return n.current, true
		},
		tick: func(now time.Time) []savorypinresume.Action {
			if n.current.Term == 0 {
				if now.Before(n.retryAt) {
					return nil
				}
				return place
			}
			if now.Sub(n.heard) < naiveStall {
				return nil
			}
			return fail(n.current)
		},
		tokens: func(now time.Time, id savorypin.AttemptID, first int, tokens []savorypin.Token) (int, []savorypinresume.Action) {
			known := len(n.tokens) - first
			if id != n.current || known >= len(tokens) {
				return 0, nil
			}
			if known < 0 {
				return 0, fail(id)
			}
			n.heard = now
			n.tokens = append(n.tokens, tokens[known:]...)
			return len(tokens) - known, nil
		},
	}
}
