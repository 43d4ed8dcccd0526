package savorypinlimit_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinlimit"
	"savorypin/internal/savorypinrank"
)

// fleet simulates entries that exchange reports and answers without sockets.
type fleet struct {
	entries []*entry
	// answerLossRatio is the fraction of answers that are lost.
	answerLossRatio float64
	now             time.Time
	rand            *rand.Rand
	// reportedUsages counts the usages in all reports.
	reportedUsages int
	specs          map[string]savorypin.OrganisationSpec
	// static disables the exchange and splits the limits evenly.
	static bool
}

type entry struct {
	stopped   bool
	limiter   *savorypinlimit.Limiter
	name      string
	liveNames []string
	owner     *savorypinlimit.Owner
	owners    savorypinlimit.Owners
	reach     *savorypinlimit.Reachability
	region    string
	partition int
}

func newFleet(n int, specs map[string]savorypin.OrganisationSpec) *fleet {
	f := &fleet{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(9, 9)), specs: specs}
	for i := range n {
		e := &entry{name: fmt.Sprintf("entry-%d", i), region: fmt.Sprintf("r%d", i%3)}
		f.restart(e)
		f.entries = append(f.entries, e)
	}
	return f
}

// splitStatically disables the exchange, as a baseline for comparisons: each entry
// always has an equal share of the limits. A limiter without a grant uses a quarter
// of its share, so the limits are multiplied by four.
func (f *fleet) splitStatically() {
	const fallbackDivisor = 4
	f.static = true
	for name, spec := range f.specs {
		spec.TokensPerSecond *= fallbackDivisor / float64(len(f.entries))
		f.specs[name] = spec
	}
	for _, e := range f.entries {
		e.limiter.Configure(f.specs)
	}
}

// restart gives an entry new, empty state.
func (f *fleet) restart(e *entry) {
	e.limiter = savorypinlimit.NewLimiter(savorypinlimit.Config{
		Count: func(string, int64) {}, Now: func() time.Time { return f.now },
	})
	e.limiter.Configure(f.specs)
	e.owner = savorypinlimit.NewOwner(f.now)
	e.reach = savorypinlimit.NewReachability()
	e.liveNames = nil
	e.owners = savorypinlimit.Owners{}
}

// live returns the names of the running entries in the partition of e, and their
// number by region.
func (f *fleet) live(e *entry) (names []string, regions map[string]int) {
	regions = map[string]int{}
	for _, other := range f.entries {
		if !other.stopped && other.partition == e.partition {
			names = append(names, other.name)
			regions[other.region]++
		}
	}
	return names, regions
}

// exchange simulates one ExchangeInterval at all entries.
func (f *fleet) exchange() {
	for _, e := range f.entries {
		if e.stopped {
			continue
		}
		names, regions := f.live(e)
		if f.static {
			e.limiter.Tick(1, func(string) string { return "" })
			continue
		}
		known, share := e.reach.Update(regions, f.now)
		if before, changed := e.owners.SetEntries(names); changed {
			e.liveNames = names
			e.owner.RecordEntriesChange(func(o string) bool {
				return len(before) > 0 && savorypinrank.Names(o, before)[0] == e.name
			}, f.now)
		}
		due := e.limiter.Tick(known, e.owners.Of)
		for _, owner := range f.entries {
			if report, ok := due[owner.name]; ok {
				f.reportedUsages += len(report.Usages)
				answer := owner.owner.Grant(e.name, report, func(o string) savorypinlimit.Amount {
					return savorypinlimit.ShareOfLimits(f.specs[o], share)
				}, f.now)
				if f.rand.Float64() < f.answerLossRatio {
					continue
				}
				e.limiter.ApplyAnswer(owner.name, report, answer, f.now)
			}
		}
		e.owner.Sweep(f.now)
	}
}

// run sends requests of 100 tokens for a duration and returns the tokens admitted
// in each second. The function demand returns the requests per second at entry i.
func (f *fleet) run(d time.Duration, organisation string, demand func(i int) float64) []float64 {
	const step = 10 * time.Millisecond
	var admitted []float64
	for t := time.Duration(0); t < d; t += step {
		if t%savorypinlimit.ExchangeInterval == 0 {
			f.exchange()
		}
		if t%time.Second == 0 {
			admitted = append(admitted, 0)
		}
		for i, e := range f.entries {
			if e.stopped || f.rand.Float64() >= demand(i)*step.Seconds() {
				continue
			}
			if a, err := e.limiter.Admit(organisation, 100); err == nil {
				a.Release(100)
				admitted[len(admitted)-1] += 100
			}
		}
		f.now = f.now.Add(step)
	}
	return admitted
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
