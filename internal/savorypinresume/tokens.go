package savorypinresume

import (
	"savorypin/internal/savorypin"
)

// TokenBytes is the memory that is reserved for one token, in bytes: for its id, the
// end of its text, and its text.
const TokenBytes = 16

// fixedBytes is the memory of the id and the end of the text of one token, in bytes.
const fixedBytes = 8

// Tokens is a compact sequence of tokens. The texts share one buffer, so that a token
// needs no separate allocation. It is not safe for concurrent use.
type Tokens struct {
	ends []uint32
	ids  []int32
	text []byte
}

// Append adds tokens at the end.
func (t *Tokens) Append(tokens []savorypin.Token) {
	for _, token := range tokens {
		t.ids = append(t.ids, token.ID)
		t.text = append(t.text, token.Text...)
		t.ends = append(t.ends, uint32(len(t.text)))
	}
}

// Bytes returns the memory of the tokens, in bytes.
func (t *Tokens) Bytes() int {
	return fixedBytes*len(t.ids) + len(t.text)
}

// Len returns the number of tokens.
func (t *Tokens) Len() int {
	return len(t.ids)
}

// Slice returns a copy of the tokens from index first up to last. It makes two
// allocations, whatever the number of tokens.
func (t *Tokens) Slice(first, last int) []savorypin.Token {
	if first >= last {
		return nil
	}
	start := t.start(first)
	text := string(t.text[start:t.ends[last-1]])
	tokens := make([]savorypin.Token, 0, last-first)
	for i := first; i < last; i++ {
		tokens = append(tokens, savorypin.Token{ID: t.ids[i], Text: text[t.start(i)-start : t.ends[i]-start]})
	}
	return tokens
}

// start returns the offset of the text of a token.
func (t *Tokens) start(i int) uint32 {
	if i == 0 {
		return 0
	}
	return t.ends[i-1]
}
