package savorypinmsgpack_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"savorypin/internal/savorypinmsgpack"
)

// list is a message with a list of structures, like the messages of the daemons.
type list struct {
	Entries []struct {
		Name   string            `msgpack:"n"`
		Counts map[string]uint64 `msgpack:"o"`
		Share  float64           `msgpack:"s"`
	} `msgpack:"e"`
}

var _ = Describe("A message", func() {
	for _, tc := range []struct {
		name string
		data []byte
		want error
	}{
		{"of five bytes that declares four billion entries", []byte{0x81, 0xa1, 'e', 0xdd, 0xff, 0xff, 0xff, 0xff}, savorypinmsgpack.ErrTruncated},
		{"that declares a long string", []byte{0xdb, 0xff, 0xff, 0xff, 0xff, 'x'}, savorypinmsgpack.ErrTruncated},
		{"that declares a large map", []byte{0xdf, 0x7f, 0xff, 0xff, 0xff}, savorypinmsgpack.ErrTruncated},
		{"that ends within a length", []byte{0xdd, 0xff}, savorypinmsgpack.ErrTruncated},
		{"of no bytes", nil, savorypinmsgpack.ErrTruncated},
		{"of deeply nested arrays", bytes.Repeat([]byte{0x91}, 10_000), savorypinmsgpack.ErrTooLarge},
		{"of too many entries", append([]byte{0xdd, 0, 8, 0, 0}, make([]byte, 1<<19)...), savorypinmsgpack.ErrTooLarge},
	} {
		It(tc.name+" is refused before it is decoded", func() {
			var l list
			Expect(savorypinmsgpack.Unmarshal(tc.data, &l)).To(MatchError(tc.want))
		})
	}

	It("is unchanged after encoding and decoding", func() {
		var l, decoded list
		l.Entries = append(l.Entries, struct {
			Name   string            `msgpack:"n"`
			Counts map[string]uint64 `msgpack:"o"`
			Share  float64           `msgpack:"s"`
		}{Name: "a", Counts: map[string]uint64{"x": 1 << 40}, Share: 0.5})
		data, err := msgpack.Marshal(l)
		Expect(err).NotTo(HaveOccurred())
		Expect(savorypinmsgpack.Unmarshal(data, &decoded)).To(Succeed())
		Expect(decoded).To(Equal(l))
	})
})

// FuzzValidate compares Validate with the decoder: a message that the decoder accepts must be
// valid, unless it is too large. A message of fewer than 64 bytes is never too large.
func FuzzValidate(f *testing.F) {
	f.Add([]byte{0x82, 0xa1, 'a', 0xcb, 0, 0, 0, 0, 0, 0, 0, 0, 0xa1, 'b', 0x93, 1, 2, 0xc4, 1, 7})
	f.Add([]byte{0xde, 0, 1, 0xd9, 1, 'x', 0xd3, 1, 2, 3, 4, 5, 6, 7, 8})
	f.Fuzz(func(t *testing.T, data []byte) {
		if savorypinmsgpack.Validate(data) == nil {
			return
		}
		dec := msgpack.NewDecoder(bytes.NewReader(data))
		if err := dec.Skip(); err == nil && len(data) < 64 {
			t.Fatalf("refused the valid message %x", data)
		}
	})
}
