// Package savorypinresume contains the logic that delivers a complete answer from
// several attempts: which tokens are accepted, when an attempt has failed, what is
// tried next, in which order resumes are placed, and how much memory answers may
// use. It does no I/O and reads no clock.
package savorypinresume

import (
	"errors"
	"slices"

	"savorypin/internal/savorypin"
)

// ErrMissingTokens means that tokens are missing between the end of the log and the
// offered tokens. They must be requested again.
var ErrMissingTokens = errors.New("tokens are missing")

// Log is the log of the delivered tokens of one generation, with the attempts that
// produced them. It is not safe for concurrent use.
//
// Several attempts may be open at once. An attempt may extend the log if it
// produced the last token, or if the log has not grown since the attempt
// began, so that the tokens of concurrent attempts are never mixed.
type Log struct {
	lineage savorypin.Lineage
	// open holds the length of the log at the beginning of each open attempt.
	open   map[savorypin.AttemptID]int
	tokens Tokens
}

// Restore replaces the contents of the log by those of another log.
func (l *Log) Restore(lineage savorypin.Lineage, tokens []savorypin.Token) {
	l.lineage = slices.Clone(lineage)
	l.tokens = Tokens{}
	l.tokens.Append(tokens)
}

// Begin opens an attempt that continues after the tokens of the log.
func (l *Log) Begin(attempt savorypin.AttemptID) {
	if l.open == nil {
		l.open = map[savorypin.AttemptID]int{}
	}
	l.open[attempt] = l.Len()
}

// Drop closes an attempt. The log then ignores its tokens.
func (l *Log) Drop(attempt savorypin.AttemptID) {
	delete(l.open, attempt)
}

// Extends reports whether the attempt may extend the log.
func (l *Log) Extends(attempt savorypin.AttemptID) bool {
	base, ok := l.open[attempt]
	return ok && (base == l.Len() || l.Tail() == attempt)
}

// Len returns the number of tokens.
func (l *Log) Len() int {
	return l.tokens.Len()
}

// Bytes returns the memory of the tokens, in bytes.
func (l *Log) Bytes() int {
	return l.tokens.Bytes()
}

// Lineage returns which attempts produced the tokens.
func (l *Log) Lineage() savorypin.Lineage {
	return slices.Clone(l.lineage)
}

// CanResumeAt reports whether the log contains the same tokens before a position as
// the log that the position is from, so that a reader can continue there.
func (l *Log) CanResumeAt(position savorypin.EventID) bool {
	return l.lineage.CanResumeAt(position)
}

// Tail returns the attempt that produced the last token.
func (l *Log) Tail() savorypin.AttemptID {
	if len(l.lineage) == 0 {
		return savorypin.AttemptID{}
	}
	return l.lineage[len(l.lineage)-1].Attempt
}

// Offer appends the tokens that the log lacks and returns their number. The index of
// the first offered token is first. It ignores tokens that the log has, and those of
// attempts that may not extend it. If first is beyond the end of the log, it returns
// ErrMissingTokens and appends nothing.
func (l *Log) Offer(attempt savorypin.AttemptID, first int, tokens []savorypin.Token) (int, error) {
	if !l.Extends(attempt) {
		return 0, nil
	}
	if first > l.Len() {
		return 0, ErrMissingTokens
	}
	known := l.Len() - first
	if known >= len(tokens) {
		return 0, nil
	}
	if l.Tail() != attempt {
		l.lineage = append(l.lineage, savorypin.Segment{Attempt: attempt, First: l.Len()})
	}
	l.tokens.Append(tokens[known:])
	return len(tokens) - known, nil
}

// Tokens returns a copy of the tokens from an index on.
func (l *Log) Tokens(from int) []savorypin.Token {
	return l.tokens.Slice(from, l.Len())
}

// Read returns at most n tokens from an index on, all of one attempt, and that
// attempt.
func (l *Log) Read(from, n int) ([]savorypin.Token, savorypin.AttemptID) {
	last := min(from+n, l.Len())
	for _, s := range l.lineage {
		if s.First > from {
			last = min(last, s.First)
		}
	}
	return l.tokens.Slice(from, last), l.lineage.At(from)
}
