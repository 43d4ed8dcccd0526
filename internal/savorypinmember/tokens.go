package savorypinmember

import (
	"fmt"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"savorypin/internal/savorypin"
)

// tokensFieldCount is the number of encoded fields of Tokens.
const tokensFieldCount = 6

// Tokens carries consecutive tokens of an attempt. The stream determines the generation. The
// encoding is an array of the attempt's number and term, the index of the first token, the
// token ids, the lengths of their texts, and the concatenated text.
type Tokens struct {
	Attempt savorypin.AttemptID
	// First is the index of the first token in the whole answer.
	First  int
	Tokens []savorypin.Token
}

var (
	_ msgpack.CustomDecoder = (*Tokens)(nil)
	_ msgpack.CustomEncoder = (*Tokens)(nil)
)

// EncodeMsgpack encodes the tokens as described at Tokens.
func (t *Tokens) EncodeMsgpack(enc *msgpack.Encoder) error {
	header := []int64{int64(t.Attempt.Number), int64(t.Attempt.Term), int64(t.First)}
	if err := enc.EncodeArrayLen(tokensFieldCount); err != nil {
		return err
	}
	for _, n := range header {
		if err := enc.EncodeInt(n); err != nil {
			return err
		}
	}
	if err := t.encodeNumbers(enc, func(token savorypin.Token) int64 { return int64(token.ID) }); err != nil {
		return err
	}
	if err := t.encodeNumbers(enc, func(token savorypin.Token) int64 { return int64(len(token.Text)) }); err != nil {
		return err
	}
	if len(t.Tokens) == 1 {
		return enc.EncodeString(t.Tokens[0].Text)
	}
	var text strings.Builder
	for _, token := range t.Tokens {
		text.WriteString(token.Text)
	}
	return enc.EncodeString(text.String())
}

func (t *Tokens) encodeNumbers(enc *msgpack.Encoder, number func(savorypin.Token) int64) error {
	if err := enc.EncodeArrayLen(len(t.Tokens)); err != nil {
		return err
	}
	for _, token := range t.Tokens {
		if err := enc.EncodeInt(number(token)); err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack decodes the tokens. It returns ErrFrame if their encoding is inconsistent.
func (t *Tokens) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n != tokensFieldCount {
		return fmt.Errorf("%w: tokens message has %d fields", ErrFrame, n)
	}
	if t.Attempt.Number, err = dec.DecodeInt(); err != nil {
		return err
	}
	term, err := dec.DecodeInt64()
	if err != nil {
		return err
	}
	t.Attempt.Term = uint64(term)
	if t.First, err = dec.DecodeInt(); err != nil {
		return err
	}
	return t.decodeTokens(dec)
}

func (t *Tokens) decodeTokens(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < 0 || n > MaxFrameBytes {
		return fmt.Errorf("%w: %d tokens", ErrFrame, n)
	}
	t.Tokens = make([]savorypin.Token, 0, min(n, maxTokensPreallocated))
	for range n {
		id, err := dec.DecodeInt32()
		if err != nil {
			return err
		}
		t.Tokens = append(t.Tokens, savorypin.Token{ID: id})
	}
	return t.decodeTexts(dec)
}

// decodeTexts splits the concatenated text into the texts of the tokens.
func (t *Tokens) decodeTexts(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n != len(t.Tokens) {
		return fmt.Errorf("%w: %d texts for %d tokens", ErrFrame, n, len(t.Tokens))
	}
	var preallocated [maxTokensPreallocated]int
	lengths := preallocated[:0]
	for range n {
		length, err := dec.DecodeInt()
		if err != nil {
			return err
		}
		lengths = append(lengths, length)
	}
	text, err := dec.DecodeString()
	if err != nil {
		return err
	}
	for i, length := range lengths {
		if length < 0 || length > len(text) {
			return fmt.Errorf("%w: invalid length %d of a token's text", ErrFrame, length)
		}
		t.Tokens[i].Text, text = text[:length], text[length:]
	}
	return nil
}

// maxTokensPreallocated bounds the number of tokens for which memory is allocated before they
// are decoded. Without it, a peer could make this end allocate memory just by declaring a
// length.
const maxTokensPreallocated = 256
