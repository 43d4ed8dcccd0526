package savorypinclaim_test

import (
	"runtime"
	"testing"

	"savorypin/internal/savorypinclaim"
)

// BenchmarkIndexMemory reports the memory of one key in an index.
func BenchmarkIndexMemory(b *testing.B) {
	const keys = 300_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		x := savorypinclaim.NewIndex()
		for i := range uint64(keys) {
			key := savorypinclaim.KeyID{byte(i), byte(i >> 8), byte(i >> 16)}
			c := claimOf(key, "attempt")
			x.Apply(savorypinclaim.Segment{Claims: []savorypinclaim.Claim{c}, Number: 2*i + 1})
			s := savorypinclaim.Settlement{Attempt: "attempt", Key: key, Outcome: savorypinclaim.OutcomeDone}
			x.Apply(savorypinclaim.Segment{Number: 2*i + 2, Settlements: []savorypinclaim.Settlement{s}})
			x.ClosePage(2*i+1, 2*i+2)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "bytes/key")
		runtime.KeepAlive(x)
	}
}
