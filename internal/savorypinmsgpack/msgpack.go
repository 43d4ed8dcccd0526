// Package savorypinmsgpack decodes msgpack from other hosts. A message of a few bytes can declare
// a list of billions of entries, for which the decoder would allocate memory at once. That
// ends the process, and recover can't prevent it. So the declared lengths are first compared
// with the bytes of the message.
package savorypinmsgpack

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Bounds on a message.
const (
	// MaxValues bounds the number of values in a message, nested ones included.
	MaxValues = 1 << 18
	// maxDepth bounds the nesting of values.
	maxDepth = 64
)

// Errors of invalid messages.
var (
	// ErrTruncated means that a message declares more data than it contains.
	ErrTruncated = errors.New("message is shorter than it declares")
	// ErrTooLarge means that a message has too many values or is nested too deeply.
	ErrTooLarge = errors.New("message has too many values or is nested too deeply")
	// errUnknownCode means that a message contains a type code that msgpack does not define.
	errUnknownCode = errors.New("unknown msgpack type code")
)

// Unmarshal validates a message and decodes it into v. The errors are those of Validate and of
// the decoder.
func Unmarshal(data []byte, v any) error {
	if err := Validate(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, v)
}

// Validate returns ErrTruncated if the message declares more data than it contains,
// ErrTooLarge if it has more values than a message may, and another error for a type code that
// msgpack does not define.
func Validate(data []byte) error {
	v := validator{data: data}
	return v.skipValue(0)
}

// validator checks a message from its start to its end.
type validator struct {
	// data is the unread rest of the message.
	data []byte
	// count is the number of values read so far.
	count int
}

// skipValue validates and skips one value, with those nested in it.
func (v *validator) skipValue(depth int) error {
	v.count++
	if depth > maxDepth || v.count > MaxValues {
		return ErrTooLarge
	}
	if len(v.data) == 0 {
		return ErrTruncated
	}
	code := v.data[0]
	v.data = v.data[1:]
	switch {
	case code <= 0x7f, code >= 0xe0, code == 0xc0, code == 0xc2, code == 0xc3:
		return nil
	case code <= 0x8f:
		return v.skipValues(2*uint64(code&0x0f), depth)
	case code <= 0x9f:
		return v.skipValues(uint64(code&0x0f), depth)
	case code <= 0xbf:
		return v.skipBytes(uint64(code & 0x1f))
	}
	l, ok := layouts[code]
	if !ok {
		return fmt.Errorf("%w: %#x", errUnknownCode, code)
	}
	n, err := v.readLength(l.lengthBytes)
	if err != nil {
		return err
	}
	if l.valuesPerEntry > 0 {
		return v.skipValues(l.valuesPerEntry*n, depth)
	}
	return v.skipBytes(n + l.fixedBytes)
}

// layout is the encoding of the values of a type code: a length of lengthBytes, followed by
// that many bytes plus a fixed number, or by that many entries.
type layout struct {
	fixedBytes  uint64
	lengthBytes int
	// valuesPerEntry is the number of values in an entry; zero if bytes follow.
	valuesPerEntry uint64
}

// layouts maps the type codes with a length field or a fixed size to their layouts, as listed
// in the msgpack specification.
var layouts = map[byte]layout{
	0xc4: {lengthBytes: 1}, 0xc5: {lengthBytes: 2}, 0xc6: {lengthBytes: 4}, // bin
	0xc7: {fixedBytes: 1, lengthBytes: 1}, 0xc8: {fixedBytes: 1, lengthBytes: 2}, 0xc9: {fixedBytes: 1, lengthBytes: 4}, // ext
	0xca: {fixedBytes: 4}, 0xcb: {fixedBytes: 8}, // float
	0xcc: {fixedBytes: 1}, 0xcd: {fixedBytes: 2}, 0xce: {fixedBytes: 4}, 0xcf: {fixedBytes: 8}, // uint
	0xd0: {fixedBytes: 1}, 0xd1: {fixedBytes: 2}, 0xd2: {fixedBytes: 4}, 0xd3: {fixedBytes: 8}, // int
	0xd4: {fixedBytes: 2}, 0xd5: {fixedBytes: 3}, 0xd6: {fixedBytes: 5}, 0xd7: {fixedBytes: 9}, 0xd8: {fixedBytes: 17}, // fixext
	0xd9: {lengthBytes: 1}, 0xda: {lengthBytes: 2}, 0xdb: {lengthBytes: 4}, // str
	0xdc: {lengthBytes: 2, valuesPerEntry: 1}, 0xdd: {lengthBytes: 4, valuesPerEntry: 1}, // array
	0xde: {lengthBytes: 2, valuesPerEntry: 2}, 0xdf: {lengthBytes: 4, valuesPerEntry: 2}, // map
}

// readLength reads a length that is encoded in n bytes. It returns 0 if n is 0.
func (v *validator) readLength(n int) (uint64, error) {
	if len(v.data) < n {
		return 0, ErrTruncated
	}
	var padded [8]byte
	copy(padded[8-n:], v.data[:n])
	v.data = v.data[n:]
	return binary.BigEndian.Uint64(padded[:]), nil
}

// skipBytes skips n bytes. It returns ErrTruncated if fewer are left.
func (v *validator) skipBytes(n uint64) error {
	if n > uint64(len(v.data)) {
		return ErrTruncated
	}
	v.data = v.data[n:]
	return nil
}

// skipValues validates and skips n values. It returns ErrTruncated if fewer bytes are left,
// because each value takes at least one.
func (v *validator) skipValues(n uint64, depth int) error {
	if n > uint64(len(v.data)) {
		return ErrTruncated
	}
	for range n {
		if err := v.skipValue(depth + 1); err != nil {
			return err
		}
	}
	return nil
}
