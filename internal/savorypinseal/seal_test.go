package savorypinseal_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinseal"
)

const (
	oldKey = "the previous key"
	newKey = "the new key"
)

var _ = Describe("A message", func() {
	for _, tc := range []struct {
		name     string
		from, to *savorypinseal.Sealer
		tamper   func([]byte) []byte
		purpose  string
		want     error
	}{
		{name: "is opened with the same key", from: savorypinseal.New(oldKey), to: savorypinseal.New(oldKey)},
		{name: "with a tag of the old key is opened by a receiver with both keys", from: savorypinseal.New(oldKey), to: savorypinseal.New(newKey, oldKey)},
		{name: "with a tag of the new key is opened by a receiver that still seals with the old one", from: savorypinseal.New(newKey, oldKey), to: savorypinseal.New(oldKey, newKey)},
		{name: "without a tag is accepted by a receiver without keys", from: savorypinseal.New(), to: savorypinseal.New("")},
		{
			name: "with a tag of another key is refused", from: savorypinseal.New(oldKey), to: savorypinseal.New(newKey),
			want: savorypinseal.ErrNotAuthentic,
		},
		{name: "without a tag is refused by a receiver with a key", from: savorypinseal.New(), to: savorypinseal.New(newKey), want: savorypinseal.ErrNotAuthentic},
		{
			name: "for another purpose is refused", from: savorypinseal.New(oldKey), to: savorypinseal.New(oldKey), purpose: "other",
			want: savorypinseal.ErrNotAuthentic,
		},
		{
			name: "that was modified is refused", from: savorypinseal.New(oldKey), to: savorypinseal.New(oldKey),
			tamper: func(b []byte) []byte { b[len(b)-1]++; return b },
			want:   savorypinseal.ErrNotAuthentic,
		},
		{
			name: "that is truncated is refused", from: savorypinseal.New(oldKey), to: savorypinseal.New(oldKey),
			tamper: func(b []byte) []byte { return b[:3] },
			want:   savorypinseal.ErrNotAuthentic,
		},
	} {
		It(tc.name, func() {
			purpose := "gossip"
			sealed := tc.from.Seal(purpose, []byte("a message"))
			if tc.tamper != nil {
				sealed = tc.tamper(sealed)
			}
			if tc.purpose != "" {
				purpose = tc.purpose
			}
			message, err := tc.to.Open(purpose, sealed)
			if tc.want != nil {
				Expect(err).To(MatchError(tc.want))
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(string(message)).To(Equal("a message"))
		})
	}
})
