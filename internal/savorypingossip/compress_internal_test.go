package savorypingossip

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmirror"
	"savorypin/internal/savorypinseal"
)

var _ = Describe("Compression of a transfer", func() {
	It("reduces a list of all endpoints to a quarter of its size or less", func() {
		var d savorypinmirror.Delta
		size := 0
		for i := range 600 {
			spec := fmt.Sprintf(`{"service":"assistant","address":"10.1.%d.%d:8728","zone":"z%d","state":"ready","slots":16,"seq":%d}`,
				i/200, i%200, i%7, i*7919)
			size += len(spec)
			d.Objects = append(d.Objects, savorypin.Object{
				Key: savorypin.Key{Name: fmt.Sprintf("i-%08x", i*2654435761)}, Spec: []byte(spec), Version: int64(i),
			})
		}
		var buf bytes.Buffer
		sealer := savorypinseal.New("a key of the gateways")
		Expect(writeFrame(&buf, sealer, purposeTransfer, d)).To(Succeed())
		Expect(buf.Len()).To(BeNumerically("<", size/4))
		var got savorypinmirror.Delta
		Expect(readFrame(&buf, sealer, purposeTransfer, maxFrameBytes, &got)).To(Succeed())
		Expect(got).To(Equal(d))
	})

	It("refuses data that decompresses to more than a frame", func() {
		data, err := compress(make([]byte, maxFrameBytes+1))
		Expect(err).NotTo(HaveOccurred())
		_, err = decompress(data)
		Expect(err).To(MatchError(errFrameTooLong))
	})
})

func FuzzDecompress(f *testing.F) {
	valid, err := compress([]byte("a message"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		if message, err := decompress(data); err == nil && len(message) > maxFrameBytes {
			t.Fatal("decompressed message is longer than a frame")
		}
	})
}
