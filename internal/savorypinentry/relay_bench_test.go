package savorypinentry_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
)

// BenchmarkRelay measures the cost of one token in the relay and at both ends of the
// transport, with one token per frame.
func BenchmarkRelay(b *testing.B) {
	for _, streams := range []int{1, 100, 5000} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			cluster := newTestCluster(b, produce, fastEngine("engine-0"))
			b.ReportAllocs()
			before := heapBytes()
			tokensPerStream := b.N/streams + 1
			b.ResetTimer()
			var wg sync.WaitGroup
			for range streams {
				wg.Go(func() {
					r, err := cluster.entry.Start(request(tokensPerStream))
					if err != nil {
						b.Error(err)
						return
					}
					if n := readAnswer(b, r); n != tokensPerStream {
						b.Errorf("got %d tokens of %d", n, tokensPerStream)
					}
				})
			}
			wg.Wait()
			b.StopTimer()
			b.ReportMetric(float64(heapBytes()-before)/float64(streams), "heap-B/stream")
		})
	}
}

// BenchmarkCaller measures the cost of one token from the agent to a caller that reads
// server-sent events, including both ends.
func BenchmarkCaller(b *testing.B) {
	const streams = 100
	cluster := newTestCluster(b, produce, fastEngine("engine-0"))
	url := "http://" + cluster.entry.Daemon().HTTPAddress() + "/v1/generations/stream"
	body := fmt.Sprintf(`{"service":%q,"prompt":"a prompt","max_tokens":%d}`, testService, b.N/streams+1)
	b.ReportAllocs()
	b.ResetTimer()
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			resp, err := http.Post(url, "application/json", strings.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			defer resp.Body.Close()
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				b.Error(err)
			}
		})
	}
	wg.Wait()
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkGeneration measures the cost of a generation of one token, including both
// ends: admission, choice of an endpoint, start, end and the reader.
func BenchmarkGeneration(b *testing.B) {
	cluster := newTestCluster(b, produce, fastEngine("engine-0"))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r, err := cluster.entry.Start(request(1))
			if err != nil {
				b.Error(err)
				return
			}
			readAnswer(b, r)
		}
	})
}
