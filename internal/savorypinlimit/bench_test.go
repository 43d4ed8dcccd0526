package savorypinlimit_test

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinlimit"
)

// BenchmarkOvershoot reports the rate that twenty entries admit under one limit
// in the thirty seconds after a failure, with the exchange and with a static split.
func BenchmarkOvershoot(b *testing.B) {
	for _, tc := range failures {
		for _, static := range []bool{true, false} {
			b.Run(fmt.Sprintf("%s/static=%t", tc.name, static), func(b *testing.B) {
				var admitted []float64
				for range b.N {
					f := newFleet(entryCount, oneOrganisation())
					if static {
						f.splitStatically()
					}
					f.run(20*time.Second, "shops", skewedDemand)
					tc.inject(f)
					admitted = f.run(30*time.Second, "shops", skewedDemand)
				}
				b.ReportMetric(sum(admitted)/30/limit, "mean/limit")
				b.ReportMetric(slices.Max(admitted)/limit, "peak/limit")
				b.ReportMetric(sum(admitted[20:])/10/limit, "last10s/limit")
			})
		}
	}
}

// BenchmarkAdmit compares Limiter.Admit with a limiter that has a single lock, both
// with 670 organisations.
func BenchmarkAdmit(b *testing.B) {
	specs := map[string]savorypin.OrganisationSpec{}
	var names []string
	for i := range 670 {
		names = append(names, fmt.Sprintf("org-%d", i))
		specs[names[i]] = savorypin.OrganisationSpec{Concurrency: 1 << 30, RequestsPerSecond: 1e9, TokensPerSecond: 1e12}
	}
	limiter := savorypinlimit.NewLimiter(savorypinlimit.Config{Count: func(string, int64) {}, Now: time.Now})
	limiter.Configure(specs)
	locked := newLockedLimiter(specs)
	var next atomic.Int64
	for _, bc := range []struct {
		name string
		run  func(organisation string)
	}{
		{"naive", func(o string) {
			if locked.admit(o, 100) {
				locked.release(o, 100, 50)
			}
		}},
		{"limiter", func(o string) {
			if a, err := limiter.Admit(o, 100); err == nil {
				a.Release(50)
			}
		}},
	} {
		b.Run(bc.name, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				bc.run(names[i%len(names)])
			}
		})
		b.Run(bc.name+"/parallel", func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := int(next.Add(67)); pb.Next(); i++ {
					bc.run(names[i%len(names)])
				}
			})
		})
	}
}
