package savorypinlimit_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinlimit"
	"savorypin/internal/savorypinrank"
)

const limit = 20_000.0

func oneOrganisation() map[string]savorypin.OrganisationSpec {
	return map[string]savorypin.OrganisationSpec{"shops": {TokensPerSecond: limit}}
}

// skewedDemand returns the requests per second at entry i. With 100 tokens per
// request, the total demand is 1.6 times the limit, nearly all of it at four entries.
func skewedDemand(i int) float64 {
	if i < 4 {
		return 76
	}
	return 1
}

const entryCount = 20

// failures are the failures that are injected into a fleet of entryCount entries.
var failures = []struct {
	name string
	// partitionedShare is the fraction of the limit that entries in a separate
	// partition may admit in addition to the limit.
	partitionedShare float64
	// maxWithoutGrant is the maximum number of entries without a valid grant at a time.
	maxWithoutGrant int
	inject          func(f *fleet)
}{
	{"nothing fails", 0, 0, func(*fleet) {}},
	{"the busiest entry stops", 0, 0, func(f *fleet) { f.entries[0].stopped = true }},
	{"a third of the entries stop", 0, 0, func(f *fleet) {
		for _, e := range f.entries[entryCount-entryCount/3:] {
			e.stopped = true
		}
	}},
	{"all entries restart and lose their state", 0, entryCount, func(f *fleet) {
		for _, e := range f.entries {
			f.restart(e)
		}
	}},
	{"a third of the answers are lost", 0, entryCount, func(f *fleet) { f.answerLossRatio = 1.0 / 3 }},
	{"an entry is partitioned from the others", 1.0 / entryCount, 0, func(f *fleet) { f.entries[0].partition = 1 }},
	{"a region is partitioned from the others", 0, 0, func(f *fleet) {
		for i := 0; i < entryCount; i += 3 {
			f.entries[i].partition = 1
		}
	}},
}

var _ = Describe("Limit over several entries", func() {
	for _, tc := range failures {
		It("holds when "+tc.name, func() {
			f := newFleet(entryCount, oneOrganisation())
			f.run(20*time.Second, "shops", skewedDemand)
			tc.inject(f)
			const seconds = 30
			admitted := f.run(seconds*time.Second, "shops", skewedDemand)
			rate := limit * (1 + tc.partitionedShare + float64(tc.maxWithoutGrant)/(4*entryCount))
			Expect(sum(admitted)).To(BeNumerically("<=", rate*seconds+rate+entryCount*100))
		})
	}

	It("admits more than twice as much of a skewed demand as a static split", func() {
		f := newFleet(entryCount, oneOrganisation())
		f.run(20*time.Second, "shops", skewedDemand)
		got := sum(f.run(20*time.Second, "shops", skewedDemand)) / 20
		static := newFleet(entryCount, oneOrganisation())
		static.splitStatically()
		Expect(got).To(BeNumerically(">", 2*sum(static.run(20*time.Second, "shops", skewedDemand))/20))
	})

	It("grants at once the limits that the entry owned before another entry stopped", func() {
		f := newFleet(3, oneOrganisation())
		f.run(20*time.Second, "quiet", skewedDemand)
		owner := savorypinrank.Names("shops", []string{"entry-0", "entry-1", "entry-2"})[0]
		stopped := slices.IndexFunc(f.entries, func(e *entry) bool { return e.name != owner })
		f.entries[stopped].stopped = true
		f.run(time.Second, "quiet", skewedDemand)
		report := savorypinlimit.Report{
			Usages: []savorypinlimit.Usage{{Organisation: "shops", Demand: savorypinlimit.Amount{Tokens: 100}}},
		}
		for _, e := range f.entries {
			if e.name == owner {
				answer := e.owner.Grant(owner, report, func(string) savorypinlimit.Amount {
					return savorypinlimit.Amount{Tokens: limit}
				}, f.now)
				Expect(answer.Amounts[0].Tokens).To(BeNumerically(">=", 100))
			}
		}
	})

	It("reports no usages while the grants cover the demand", func() {
		const organisations = 50
		f := newFleet(entryCount, map[string]savorypin.OrganisationSpec{})
		for i := range organisations {
			f.specs[fmt.Sprintf("org-%d", i)] = savorypin.OrganisationSpec{TokensPerSecond: limit}
		}
		for _, e := range f.entries {
			e.limiter.Configure(f.specs)
		}
		load := func(seconds int) {
			for range seconds * int(time.Second/savorypinlimit.ExchangeInterval) {
				for name := range f.specs {
					for _, e := range f.entries {
						if a, err := e.limiter.Admit(name, 10); err == nil {
							a.Release(10)
						}
					}
				}
				f.now = f.now.Add(savorypinlimit.ExchangeInterval)
				f.exchange()
			}
		}
		load(20)
		f.reportedUsages = 0
		load(20)
		Expect(f.reportedUsages).To(BeZero())
		for _, e := range f.entries {
			for _, state := range e.limiter.State() {
				Expect(state.Granted).To(BeTrue())
			}
		}
	})

	It("keeps the grants when the owner restarts and loses its state", func() {
		f := newFleet(entryCount, oneOrganisation())
		even := func(int) float64 { return 8 }
		before := sum(f.run(20*time.Second, "shops", even)[10:]) / 10
		owner := savorypinrank.Names("shops", f.entries[0].liveNames)[0]
		f.restart(f.entries[slices.IndexFunc(f.entries, func(e *entry) bool { return e.name == owner })])
		after := sum(f.run(savorypinlimit.RenewOnlyDuration, "shops", even)) / savorypinlimit.RenewOnlyDuration.Seconds()
		// The owner itself has only the fallback share until RenewOnlyDuration has passed.
		Expect(after).To(BeNumerically(">=", (1-1.0/entryCount)*0.95*before))
	})

	It("releases the grant of an idle entry when others need it", func() {
		const limit = 8000.0
		f := newFleet(2, map[string]savorypin.OrganisationSpec{"shops": {TokensPerSecond: limit}})
		f.run(20*time.Second, "shops", func(int) float64 { return 40 })
		admitted := f.run(30*time.Second, "shops", func(i int) float64 { return float64(1-i) * 90 })
		Expect(sum(admitted[20:]) / 10).To(BeNumerically(">=", 0.9*limit))
	})

	It("bounds the number of concurrent requests", func() {
		f := newFleet(4, map[string]savorypin.OrganisationSpec{"shops": {Concurrency: 10}})
		running := 0
		for range 400 {
			f.now = f.now.Add(savorypinlimit.ExchangeInterval)
			f.exchange()
			for _, e := range f.entries {
				if _, err := e.limiter.Admit("shops", 0); err == nil {
					running++
				}
			}
		}
		// Each entry may have admitted one under its fallback share.
		Expect(running).To(BeNumerically("<=", 10+4))
		Expect(running).To(BeNumerically(">=", 8))
	})

	It("admits a request after the RetryAfter of a refusal", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFleet(1, map[string]savorypin.OrganisationSpec{
				"shops": {RequestsPerSecond: rapid.Float64Range(0.5, 50).Draw(t, "requests"), TokensPerSecond: 500},
			})
			_, _ = f.entries[0].limiter.Admit("shops", 1)
			f.now = f.now.Add(savorypinlimit.RenewOnlyDuration)
			f.exchange()
			for range 50 {
				a, err := f.entries[0].limiter.Admit("shops", rapid.IntRange(1, 1000).Draw(t, "tokens"))
				var limited *savorypinlimit.LimitedError
				if !errors.As(err, &limited) {
					a.Release(rapid.IntRange(0, 10).Draw(t, "used"))
					continue
				}
				f.now = f.now.Add(limited.RetryAfter)
				if _, err := f.entries[0].limiter.Admit("shops", 1); errors.As(err, &limited) && limited.Limit == savorypinlimit.LimitRequests {
					t.Fatalf("request refused after RetryAfter: %v", err)
				}
			}
		})
	})

	It("sends less than the budget of control traffic with 670 organisations", func() {
		// The budget is 23 KB per second for all control traffic of a daemon, half of it
		// for limits. 670 is the number of organisations at the target size. The test assumes
		// that an entry reports all of them once every 3 s and, as an owner, answers as many
		// reports.
		var usages []savorypinlimit.Usage
		var grants []savorypinlimit.Amount
		for i := range 670 {
			a := savorypinlimit.Amount{Tokens: 1234.5, Requests: 12.5, Concurrency: 20}
			usages = append(usages, savorypinlimit.Usage{Organisation: fmt.Sprintf("org-%d", i), Demand: a, Running: 9})
			grants = append(grants, a)
		}
		report, err := msgpack.Marshal(usages)
		Expect(err).NotTo(HaveOccurred())
		answer, err := msgpack.Marshal(grants)
		Expect(err).NotTo(HaveOccurred())
		// Overhead of frames and streams, to and from 19 other entries.
		const overhead = 19 * 100
		sent := (len(report) + len(answer) + overhead) / 3
		AddReportEntry("bytes sent a second", sent)
		Expect(sent).To(BeNumerically("<", 23_000/2))
	})

	It("allocates at most twice per request", func() {
		f := newFleet(1, oneOrganisation())
		Expect(testing.AllocsPerRun(100, func() {
			if a, err := f.entries[0].limiter.Admit("shops", 1); err == nil {
				a.Release(1)
			}
		})).To(BeNumerically("<=", 2))
	})
})

var _ = Describe("MaxMin", func() {
	It("gives the same shares as progressive filling in small steps", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			capacity := float64(rapid.IntRange(0, 100).Draw(t, "capacity"))
			var parties []savorypinlimit.Party
			for range rapid.IntRange(1, 6).Draw(t, "n") {
				parties = append(parties, savorypinlimit.Party{
					Demand: float64(rapid.IntRange(0, 60).Draw(t, "demand")),
					Weight: float64(rapid.IntRange(1, 4).Draw(t, "weight")),
				})
			}
			const step = 0.001
			want := make([]float64, len(parties))
			for progressed := true; progressed; {
				progressed = false
				for i, p := range parties {
					if part := step * p.Weight; want[i]+part <= p.Demand && capacity >= part {
						want[i] += part
						capacity -= part
						progressed = true
					}
				}
			}
			shares, _ := savorypinlimit.MaxMin(capacity+sum(want), parties)
			for i := range shares {
				if diff := shares[i] - want[i]; diff > 0.1 || diff < -0.1 {
					t.Fatalf("share %d is %v, want %v", i, shares[i], want[i])
				}
			}
		})
	})
})

var _ = Describe("RetryBudget", func() {
	It("bounds retries to a tenth of the first attempts plus the burst", func() {
		var b savorypinlimit.RetryBudget
		retries := 0
		for range 1000 {
			b.Earn()
			for range 3 {
				if b.Available() {
					b.Spend()
					retries++
				}
			}
		}
		Expect(retries).To(BeNumerically("<=", 1000/10+20))
		Expect(retries).To(BeNumerically(">=", 100))
	})

	It("allows no more retries than its burst and the credit of attempts and intervals", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var b savorypinlimit.RetryBudget
			earned, retries := 20_000, 0
			for _, event := range rapid.SliceOf(rapid.IntRange(0, 9)).Draw(t, "events") {
				switch {
				case event == 0:
					b.Earn()
					earned += 100
				case event == 1:
					b.EarnIdle()
					earned += 250
				case b.Available():
					b.Spend()
					retries++
				}
				if retries*1000 > earned {
					t.Fatalf("%d retries for a credit of %d thousandths", retries, earned)
				}
			}
		})
	})
})
