package savorypinresume_test

import (
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinresume"
)

// naiveStallTimeout is the gap after which the naive baseline gives up an attempt.
const naiveStallTimeout = 2 * time.Second

// naive is the baseline that the Machine is compared with: it makes one attempt at a
// time, gives it up on any loss, and detects all faults by one fixed timeout.
type naive struct {
	avoided   map[string]bool
	current   savorypin.AttemptID
	ended     *savorypinresume.End
	lastToken time.Time
	endpoint  string
	retryAt   time.Time
	tokens    []savorypin.Token
}

func (n *naive) controller() controller {
	n.avoided = map[string]bool{}
	place := []savorypinresume.Action{{Kind: savorypinresume.ActionPlace}}
	fail := func(id savorypin.AttemptID) []savorypinresume.Action {
		if id != n.current || n.ended != nil {
			return nil
		}
		n.current = savorypin.AttemptID{Number: n.current.Number}
		n.avoided[n.endpoint] = true
		return append([]savorypinresume.Action{{Attempt: id, Kind: savorypinresume.ActionCancel}}, place...)
	}
	return controller{
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
		connectionLost: func(_ time.Time, id savorypin.AttemptID) []savorypinresume.Action { return fail(id) },
		placementFailed: func(now time.Time) []savorypinresume.Action {
			n.avoided = map[string]bool{}
			n.retryAt = now.Add(100 * time.Millisecond)
			return nil
		},
		placed: func(now time.Time, name string, _ time.Duration) (savorypin.AttemptID, bool) {
			n.current = savorypin.AttemptID{Number: n.current.Number + 1, Term: 1}
			n.lastToken = now
			n.endpoint = name
			return n.current, true
		},
		tick: func(now time.Time) []savorypinresume.Action {
			if n.current.Term == 0 {
				if now.Before(n.retryAt) {
					return nil
				}
				return place
			}
			if now.Sub(n.lastToken) < naiveStallTimeout {
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
			n.lastToken = now
			n.tokens = append(n.tokens, tokens[known:]...)
			return len(tokens) - known, nil
		},
	}
}
