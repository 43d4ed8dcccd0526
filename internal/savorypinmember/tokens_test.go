package savorypinmember_test

import (
	"bufio"
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
)

// maxTokenAllocations bounds the allocations for encoding and decoding one token. At 79,000
// tokens a second per entry, 16 of them are 1.3 million a second.
const maxTokenAllocations = 16

// maxTokenBytes bounds the encoded size of a token of five bytes in a frame of its own. The
// link between regions carries 30 Mbit/s; with 45 ms between tokens this is 2,800 streams.
const maxTokenBytes = 60

func tokensOf(texts ...string) savorypinmember.Tokens {
	msg := savorypinmember.Tokens{Attempt: savorypin.AttemptID{Number: 2, Term: 1<<33 + 5}, First: 1000}
	for i, text := range texts {
		msg.Tokens = append(msg.Tokens, savorypin.Token{ID: int32(90_000 + i), Text: text})
	}
	return msg
}

// roundTrip encodes and decodes a message. It also returns the size of the frame.
func roundTrip(msg *savorypinmember.Tokens) (savorypinmember.Tokens, int, error) {
	data, err := savorypinmember.EncodeFrame(savorypinmember.FrameTokens, 77, msg)
	if err != nil {
		return savorypinmember.Tokens{}, 0, err
	}
	frame, err := savorypinmember.ReadFrame(bufio.NewReader(bytes.NewReader(data)))
	if err != nil {
		return savorypinmember.Tokens{}, 0, err
	}
	got, err := savorypinmember.Decode[savorypinmember.Tokens](frame)
	return got, len(data), err
}

func FuzzTokens(f *testing.F) {
	valid, err := msgpack.Marshal(new(tokensOf("a", "b")))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0x96, 1, 2, 3, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var msg savorypinmember.Tokens
		_ = msgpack.Unmarshal(data, &msg)
	})
}

var _ = Describe("Tokens", func() {
	It("are unchanged after encoding and decoding", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			msg := tokensOf(rapid.SliceOfN(rapid.String(), 0, 300).Draw(t, "texts")...)
			got, _, err := roundTrip(&msg)
			if err != nil {
				t.Fatal(err)
			}
			if got.Attempt != msg.Attempt || got.First != msg.First || len(got.Tokens) != len(msg.Tokens) {
				t.Fatalf("got %v, want %v", got, msg)
			}
			for i := range msg.Tokens {
				if got.Tokens[i] != msg.Tokens[i] {
					t.Fatalf("token %d is %v", i, got.Tokens[i])
				}
			}
		})
	})

	It("need few bytes and allocations", func() {
		msg := tokensOf("word ")
		_, size, err := roundTrip(&msg)
		Expect(err).NotTo(HaveOccurred())
		Expect(size).To(BeNumerically("<=", maxTokenBytes))
		allocations := testing.AllocsPerRun(100, func() { _, _, _ = roundTrip(&msg) })
		Expect(allocations).To(BeNumerically("<=", maxTokenAllocations))
	})
})

// naiveTokens is the baseline of the benchmark: the default encoding of Tokens, in which the
// message and each token are maps with field names.
type naiveTokens struct {
	Attempt savorypinmember.Attempt `msgpack:"at"`
	First   int                     `msgpack:"i"`
	Tokens  []savorypin.Token       `msgpack:"t"`
}

type naiveFrame struct {
	Kind   string
	Stream uint64
	Body   msgpack.RawMessage
}

func naiveRoundTrip(msg *naiveTokens) (int, error) {
	body, err := msgpack.Marshal(msg)
	if err != nil {
		return 0, err
	}
	data, err := msgpack.Marshal(&naiveFrame{Kind: "tokens", Stream: 77, Body: body})
	if err != nil {
		return 0, err
	}
	var frame naiveFrame
	if err := msgpack.Unmarshal(data, &frame); err != nil {
		return 0, err
	}
	var got naiveTokens
	return len(data), msgpack.Unmarshal(frame.Body, &got)
}

func BenchmarkTokens(b *testing.B) {
	for _, n := range []int{1, 16} {
		texts := make([]string, n)
		for i := range texts {
			texts[i] = "word "
		}
		msg := tokensOf(texts...)
		naive := naiveTokens{
			Attempt: savorypinmember.Attempt{Generation: "0f8b3a52-6a1c-4f8e-9b1a-0a4f7d1c2e3b.agent-1", ID: msg.Attempt},
			First:   msg.First,
			Tokens:  msg.Tokens,
		}
		b.Run(fmt.Sprintf("naive/tokens=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				size, _ = naiveRoundTrip(&naive)
			}
			b.ReportMetric(float64(size)/float64(n), "wire-B/token")
		})
		b.Run(fmt.Sprintf("frame/tokens=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				_, size, _ = roundTrip(&msg)
			}
			b.ReportMetric(float64(size)/float64(n), "wire-B/token")
		})
	}
}
