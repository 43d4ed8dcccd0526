package savorypinroute_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmembership"
	"savorypin/internal/savorypinroute"
)

// Settings of the simulated system: thirty engines, two thirds of them in the
// first region, and callers that are spread evenly over the two regions. Rates are
// in tokens per second.
const (
	simEngines        = 30
	simEntries        = 4
	simSlots          = 8
	simPrefillRate    = 4000.0
	simDecodeRate     = 50.0
	simMeanTokens     = 80.0
	simDuration       = 40 * time.Second
	simWarmUp         = 10 * time.Second
	simMaxFirstToken  = 1700 * time.Millisecond
	simReportInterval = 500 * time.Millisecond
	simReportLag      = 300 * time.Millisecond
	simCachedPrefixes = 600
)

// chooser selects an endpoint for a request that reaches one entry. It reports
// false if it refuses the request.
type chooser func(req savorypinroute.Request) (savorypinroute.Candidate, bool)

type policy struct {
	name       string
	newChooser func(s *simulation, region string) chooser
}

var policies = []policy{
	{"round robin", func(s *simulation, region string) chooser {
		next := 0
		return func(req savorypinroute.Request) (savorypinroute.Candidate, bool) {
			local := s.inRegion(region, req)
			next++
			return local[next%len(local)], true
		}
	}},
	{"least reported", func(s *simulation, _ string) chooser {
		return func(req savorypinroute.Request) (savorypinroute.Candidate, bool) {
			return savorypinroute.LeastLoaded(savorypinroute.Candidates(s.table.View(), req), req)
		}
	}},
	{"router", func(s *simulation, region string) chooser {
		r := s.router(region)
		return func(req savorypinroute.Request) (savorypinroute.Candidate, bool) {
			c, err := r.Choose(req)
			return c, err == nil
		}
	}},
}

// event is a function that runs at a simulated time.
type event struct {
	at  time.Time
	run func()
}

// job is a simulated request.
type job struct {
	candidate   savorypinroute.Candidate
	crossesLink bool
	req         savorypinroute.Request
	arrivedAt   time.Time
	tokens      int
}

// engine models an engine as a queue with a number of slots, a prefill rate for
// tokens that are not cached, and a decoding rate.
type engine struct {
	cached  []uint64
	fails   bool
	name    string
	queue   []*job
	region  string
	running int
	// slowdown divides the rates of the engine. The reported rates are unchanged.
	slowdown float64
}

// outcome holds the counts of a simulation after its warm-up; only refusals and
// failures are counted from the start.
type outcome struct {
	offered         int
	linkBytes       int
	failed          int
	firstTokenTimes []time.Duration
	inTime          int
	prefilled       int
	refused         int
	wastedPrefill   int
}

func (o outcome) mean() time.Duration {
	var sum time.Duration
	for _, d := range o.firstTokenTimes {
		sum += d
	}
	return sum / time.Duration(max(1, len(o.firstTokenTimes)))
}

func (o outcome) p95() time.Duration {
	sorted := slices.Sorted(slices.Values(o.firstTokenTimes))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)*95/100]
}

type simulation struct {
	choosers []chooser
	engines  []*engine
	events   []event
	now      time.Time
	out      outcome
	rand     *rand.Rand
	table    *savorypinmembership.NaiveTable
}

// simulate runs a policy at a load, the ratio of the offered load to the capacity
// of all slots. The functions in prepare change the engines before the start.
func simulate(p policy, load float64, seed uint64, prepare ...func(*simulation)) outcome {
	s := &simulation{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1))}
	s.table = savorypinmembership.NewNaiveTable(savorypinmembership.NaiveTableConfig{
		DeadAfter: time.Hour, ForgetAfter: time.Hour, Now: func() time.Time { return s.now }, SuspectAfter: time.Hour,
	})
	for i := range simEngines {
		s.engines = append(s.engines, &engine{name: fmt.Sprintf("engine-%d", i), region: region(i % 3 / 2), slowdown: 1})
	}
	for _, f := range prepare {
		f(s)
	}
	for i := range simEntries {
		s.choosers = append(s.choosers, p.newChooser(s, region(i%2)))
	}
	s.report(1)
	// The mean time for which a request occupies a slot: its decoding, and 0.2 s for
	// the prefill.
	slotSeconds := simMeanTokens/simDecodeRate + 0.2
	s.scheduleArrivals(load * simEngines * simSlots / slotSeconds)
	for end := s.now.Add(simDuration); s.now.Before(end); {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.at
		e.run()
	}
	return s.out
}

func region(i int) string { return fmt.Sprintf("r%d", i) }

func (s *simulation) schedule(d time.Duration, run func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.events, at, func(e event, at time.Time) int {
		return cmp.Or(e.at.Compare(at), -1) // Insert after events at the same time.
	})
	s.events = slices.Insert(s.events, i, event{at: at, run: run})
}

func (s *simulation) router(region string) *savorypinroute.Router {
	r := savorypinroute.NewRouter(savorypinroute.Config{
		OnBegin:            func(savorypin.Purpose) {},
		Count:              func(string, int64) {},
		LinkBytesPerSecond: 30e6 / 8,
		LinkDelay:          func(_, _ string) time.Duration { return 25 * time.Millisecond },
		Now:                func() time.Time { return s.now },
		Rand:               rand.New(rand.NewPCG(3, uint64(len(s.events)))).Float64,
		Region:             region,
	})
	var refresh func()
	refresh = func() {
		r.Refresh(s.table.View())
		s.schedule(100*time.Millisecond, refresh)
	}
	s.schedule(time.Millisecond, refresh)
	return r
}

func (s *simulation) inRegion(region string, req savorypinroute.Request) []savorypinroute.Candidate {
	all := savorypinroute.Candidates(s.table.View(), req)
	return slices.DeleteFunc(all, func(c savorypinroute.Candidate) bool { return c.Member().Region != region })
}

// report schedules the arrival of the load reports of all engines, and the next
// report.
func (s *simulation) report(sequence uint64) {
	var states []savorypin.MemberState
	for _, e := range s.engines {
		states = append(states, savorypin.MemberState{
			Endpoints: []savorypin.EndpointState{{
				Healthy: true, Name: e.name, PrefillPerSecond: simPrefillRate, Running: e.running, Service: "s",
				Slots: simSlots, TokensPerSecond: simDecodeRate, Versions: []string{"v"}, Waiting: len(e.queue),
			}},
			Name: e.name, Region: e.region, Role: savorypin.RoleAgent, Sequence: sequence,
		})
	}
	lag := simReportLag
	if sequence == 1 {
		lag = 0
	}
	s.schedule(lag, func() { s.table.Merge(states...) })
	s.schedule(simReportInterval, func() { s.report(sequence + 1) })
}

// scheduleArrivals schedules the next request, whose arrival schedules the one
// after it. The gaps are exponentially distributed; the mean rate is in requests
// per second. Each request belongs to one of forty organisations; the prompts of
// an organisation have a common prefix.
func (s *simulation) scheduleArrivals(rate float64) {
	s.schedule(time.Duration(s.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		organisation := s.rand.IntN(40)
		prompt := strings.Repeat(fmt.Sprintf("%08d", organisation), 128+organisation*16)
		suffix := fmt.Sprintf("%08d", s.rand.IntN(1e8))
		j := &job{
			req: savorypinroute.Request{
				MaxTokens: 2 * simMeanTokens, Prefixes: savorypinroute.Prefixes(prompt + strings.Repeat(suffix, 32)),
				PromptBytes: len(prompt) + 256, Purpose: savorypin.PurposeFirst, Service: "s", Version: "v",
				MaxFirstToken: simMaxFirstToken,
			},
			arrivedAt: s.now,
			tokens:    1 + int(s.rand.ExpFloat64()*simMeanTokens),
		}
		s.dispatch(j)
		s.scheduleArrivals(rate)
	})
}

func (s *simulation) pastWarmUp() bool { return s.now.After(time.Unix(1000, 0).Add(simWarmUp)) }

func (s *simulation) dispatch(j *job) {
	i := s.rand.IntN(simEntries)
	j.req.Region = region(i % 2)
	c, ok := s.choosers[i](j.req)
	if s.pastWarmUp() {
		s.out.offered++
	}
	if !ok {
		s.out.refused++
		return
	}
	j.candidate = c
	c.Begin()
	j.crossesLink = c.Member().Region != j.req.Region
	k := slices.IndexFunc(s.engines, func(e *engine) bool { return e.name == c.Endpoint().Name })
	e := s.engines[k]
	if e.fails {
		s.out.failed++
		c.Done(savorypin.Errorf(savorypin.KindIncomplete, e.name, "engine is broken"))
		return
	}
	e.queue = append(e.queue, j)
	s.startNext(e)
}

// startNext starts queued jobs while a slot is free. It drops jobs that have waited
// longer than simMaxFirstToken, as their callers have left.
func (s *simulation) startNext(e *engine) {
	for e.running < simSlots && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		if s.now.Sub(j.arrivedAt) > simMaxFirstToken {
			j.candidate.Done(nil)
			continue
		}
		e.running++
		uncached := e.prefill(j.req)
		s.schedule(time.Duration(uncached/simPrefillRate*e.slowdown*float64(time.Second)), func() { s.finishPrefill(e, j, int(uncached)) })
	}
}

// prefill caches the prefixes of a prompt and returns the number of its tokens that
// were not cached.
func (e *engine) prefill(req savorypinroute.Request) float64 {
	uncached := req.PromptBytes / 4
	for _, hash := range req.Prefixes {
		if i := slices.Index(e.cached, hash); i >= 0 {
			uncached -= 64
			e.cached = slices.Delete(e.cached, i, i+1)
		}
		e.cached = append(e.cached, hash)
	}
	e.cached = e.cached[max(0, len(e.cached)-simCachedPrefixes):]
	return float64(max(0, uncached))
}

func (s *simulation) finishPrefill(e *engine, j *job, prefilled int) {
	j.candidate.Delivered(1)
	took := s.now.Sub(j.arrivedAt)
	inTime := took <= simMaxFirstToken
	if s.pastWarmUp() {
		s.out.firstTokenTimes = append(s.out.firstTokenTimes, took)
		s.out.prefilled += prefilled
		if j.crossesLink {
			s.out.linkBytes += j.req.PromptBytes + 24*j.tokens
		}
		if inTime {
			s.out.inTime++
		} else {
			s.out.wastedPrefill += prefilled
		}
	}
	decode := time.Duration(float64(j.tokens) / simDecodeRate * e.slowdown * float64(time.Second))
	if !inTime {
		decode = 0 // The caller has left.
	}
	s.schedule(decode, func() {
		j.candidate.Done(nil)
		e.running--
		s.startNext(e)
	})
}
