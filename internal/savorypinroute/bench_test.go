package savorypinroute_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinroute"
)

// BenchmarkPolicies reports the results of the policies on the same seeded workload.
func BenchmarkPolicies(b *testing.B) {
	for _, load := range []float64{0.5, 0.9, 1.2, 2} {
		for _, p := range policies {
			b.Run(fmt.Sprintf("load=%v/%s", load, p.name), func(b *testing.B) {
				var o outcome
				for range b.N {
					o = simulate(p, load, 7)
				}
				seconds := (simDuration - simWarmUp).Seconds()
				b.ReportMetric(float64(o.mean().Milliseconds()), "mean-ms")
				b.ReportMetric(float64(o.p95().Milliseconds()), "p95-ms")
				b.ReportMetric(float64(o.inTime)/seconds, "good/s")
				b.ReportMetric(float64(o.offered)/seconds, "asked/s")
				b.ReportMetric(float64(o.prefilled)/float64(max(1, len(o.firstTokenTimes))), "prefill/req")
				b.ReportMetric(float64(o.wastedPrefill)/seconds, "wasted/s")
				b.ReportMetric(float64(o.linkBytes)/seconds, "cross-B/s")
			})
		}
	}
}

// BenchmarkChoose compares one selection among 600 endpoints with the scan by
// Candidates and LeastLoaded, and also measures a refusal and Router.Refresh.
func BenchmarkChoose(b *testing.B) {
	f := newFixture(members(600, 4)...)
	req := newRequest()
	req.Prefixes = savorypinroute.Prefixes(string(make([]byte, 4096)))
	req.PromptBytes = 4096
	router := benchRouter(f)
	choose := func() {
		c, _ := router.Choose(req)
		c.Begin()
		c.Delivered(1)
		c.Done(nil)
	}
	fullRouter := benchRouter(newFixture(members(600, 80)...))
	late := req
	late.MaxFirstToken = time.Second
	refuse := func() {
		_, _ = fullRouter.Choose(late)
	}
	scan := func() {
		savorypinroute.LeastLoaded(savorypinroute.Candidates(f.table.View(), req), req)
	}
	for _, bc := range []struct {
		name string
		run  func()
	}{{"naive", scan}, {"router", choose}, {"refusal", refuse}} {
		b.Run(bc.name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				bc.run()
			}
		})
		b.Run(bc.name+"/parallel", func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					bc.run()
				}
			})
		})
	}
	b.Run("refresh", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			f.table.Tick("")
			router.Refresh(f.table.View())
		}
	})
}

// benchRouter returns a router whose clock and source of random numbers are safe
// for concurrent use.
func benchRouter(f *fixture) *savorypinroute.Router {
	r := savorypinroute.NewRouter(savorypinroute.Config{
		OnBegin: func(savorypin.Purpose) {},
		Count:   func(string, int64) {}, LinkBytesPerSecond: 30e6 / 8,
		LinkDelay: func(_, _ string) time.Duration { return 0 },
		Now:       time.Now, Rand: rand.Float64, Region: "r0",
	})
	r.Refresh(f.table.View())
	return r
}
