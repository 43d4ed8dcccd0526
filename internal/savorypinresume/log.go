// Package savorypinresume decides what a caller may be given of an answer that
// is produced in several attempts.
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
// answer so far, whichever attempt produced them. It is not safe for
// concurrent use.
type Log struct {
	attempt int
	tokens  []savorypin.Token
}

// Attempt returns the attempt whose tokens are accepted.
func (l *Log) Attempt() int {
	return l.attempt
}

// Begin makes attempt the one whose tokens are accepted. Tokens of all other
// attempts are dropped from now on.
func (l *Log) Begin(attempt int) {
	l.attempt = attempt
}

// Len returns the number of tokens.
func (l *Log) Len() int {
	return len(l.tokens)
}

// Offer takes the tokens that the log lacks and returns how many it took. It
// drops the tokens of other attempts and those it has. It returns ErrGap, and
// takes nothing, if first is beyond the end.
func (l *Log) Offer(attempt, first int, tokens []savorypin.Token) (int, error) {
	if attempt != l.attempt {
		return 0, nil
	}
	if first > len(l.tokens) {
		return 0, ErrGap
	}
	known := len(l.tokens) - first
	if known >= len(tokens) {
		return 0, nil
	}
	fresh := tokens[known:]
	l.tokens = append(l.tokens, fresh...)
	return len(fresh), nil
}

// Tokens returns a copy of the tokens from an index on.
func (l *Log) Tokens(from int) []savorypin.Token {
	if from >= len(l.tokens) {
		return nil
	}
	return slices.Clone(l.tokens[from:])
}
