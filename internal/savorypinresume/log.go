// Package savorypinresume decides how an answer that is produced in several
// attempts reaches its caller whole: which tokens are taken, when an attempt
// has failed, what is tried next, which resume goes first, and how much memory
// answers may take. It has neither sockets nor clocks.
package savorypinresume

import (
	"errors"
	"slices"

	"savorypin/internal/savorypin"
)

// ErrGap means that tokens between the delivered ones and the offered ones are
// missing; they must be asked for again.
var ErrGap = errors.New("tokens are missing")

// Log is the delivered log of one generation: the tokens that make up the
// answer so far, and which attempt produced them. It is not safe for
// concurrent use.
//
// Several attempts may be open at once. An attempt may extend the log if it
// produced the last token, or if the log has not grown since the attempt
// began. So tokens of two attempts that run side by side are never mixed.
type Log struct {
	lineage savorypin.Lineage
	open    map[savorypin.AttemptID]int
	tokens  Tokens
}

// Restore replaces the log by an answer that another log has held.
func (l *Log) Restore(lineage savorypin.Lineage, tokens []savorypin.Token) {
	l.lineage = slices.Clone(lineage)
	l.tokens = Tokens{}
	l.tokens.Append(tokens)
}

// Begin opens an attempt that goes on after the tokens of the log.
func (l *Log) Begin(attempt savorypin.AttemptID) {
	if l.open == nil {
		l.open = map[savorypin.AttemptID]int{}
	}
	l.open[attempt] = l.Len()
}

// Drop closes an attempt. Its tokens are dropped from now on.
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

// Bytes returns the memory that the tokens take.
func (l *Log) Bytes() int {
	return l.tokens.Bytes()
}

// Lineage returns which attempts produced the tokens.
func (l *Log) Lineage() savorypin.Lineage {
	return slices.Clone(l.lineage)
}

// Continues reports whether the log goes on after a position.
func (l *Log) Continues(position savorypin.EventID) bool {
	return l.lineage.Continues(position)
}

// Tail returns the attempt that produced the last token.
func (l *Log) Tail() savorypin.AttemptID {
	if len(l.lineage) == 0 {
		return savorypin.AttemptID{}
	}
	return l.lineage[len(l.lineage)-1].Attempt
}

// Offer takes the tokens that the log lacks and returns how many it took. It
// drops the tokens of attempts that may not extend the log, and those that it
// has. It returns ErrGap, and takes nothing, if first is beyond the end.
func (l *Log) Offer(attempt savorypin.AttemptID, first int, tokens []savorypin.Token) (int, error) {
	if !l.Extends(attempt) {
		return 0, nil
	}
	if first > l.Len() {
		return 0, ErrGap
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
