package savorypinentry_test

import (
	"fmt"
	"sync"
	"testing"
)

// BenchmarkRelay measures the cost of one token at both ends of the transport
// and in the relay, each token in a frame of its own.
func BenchmarkRelay(b *testing.B) {
	for _, streams := range []int{1, 100, 5000} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			bench := newBench(b, produce, fastEngine("engine-0"))
			b.ReportAllocs()
			each := b.N/streams + 1
			b.ResetTimer()
			var wg sync.WaitGroup
			for range streams {
				wg.Go(func() {
					r, err := bench.entry.Start(request(each))
					if err != nil {
						b.Error(err)
						return
					}
					if n := drain(b, r); n != each {
						b.Errorf("got %d tokens of %d", n, each)
					}
				})
			}
			wg.Wait()
		})
	}
}
