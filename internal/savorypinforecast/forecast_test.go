package savorypinforecast_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"savorypin/internal/savorypinforecast"
)

// completedStream returns a stream of 100 events at an engine that is slower than the
// fastest one by the given factor.
func completedStream(slowdown float64) savorypinforecast.CompletedStream {
	scale := func(d time.Duration) time.Duration { return time.Duration(slowdown * float64(d)) }
	return savorypinforecast.CompletedStream{
		Events: 100, TimeToFirstEvent: scale(time.Second), Duration: scale(time.Second + 99*40*time.Millisecond), OutputTokens: 600, PromptTokens: 8000,
	}
}

// prompts is the kind of the streams of observePrefill.
var prompts = savorypinforecast.Kind{Route: "prompts", Service: "assistant"}

// observePrefill adds a stream with a prompt that was prefilled in a time, and a short answer.
func observePrefill(f *savorypinforecast.Forecast, tokens int, took time.Duration) {
	f.Observe(prompts, savorypinforecast.CompletedStream{
		Events: 2, Duration: took + time.Microsecond, OutputTokens: 12, PromptTokens: tokens, TimeToFirstEvent: took,
	})
}

// The gateway refuses resumed streams that can't complete in time, as when callers return
// late after a power loss of all gateways. An estimate that is too high would refuse
// streams that can still complete.
var _ = Describe("The forecast for streams", func() {
	var (
		f         *savorypinforecast.Forecast
		now       time.Time
		assistant = savorypinforecast.Kind{Route: "drafts", Service: "assistant"}
	)
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		f = savorypinforecast.New(savorypinforecast.Config{Now: func() time.Time { return now }})
		for _, slowdown := range []float64{2, 1.3, 1, 1.7, 3} {
			f.Observe(assistant, completedStream(slowdown))
		}
	})

	for _, tc := range []struct {
		name      string
		remaining savorypinforecast.Remaining
		want      time.Duration
	}{
		{"without events includes the prefill and all events", savorypinforecast.Remaining{OutputTokens: 600, PromptTokens: 8000}, 5 * time.Second},
		{"with a cached prompt includes the events only", savorypinforecast.Remaining{OutputTokens: 600}, 4 * time.Second},
		{"with half of the events includes the other half", savorypinforecast.Remaining{Events: 50, OutputTokens: 600}, 2 * time.Second},
		{"with all events is zero", savorypinforecast.Remaining{Events: 120, OutputTokens: 600}, 0},
		{"with half the prompt and output takes half the time", savorypinforecast.Remaining{OutputTokens: 300, PromptTokens: 4000}, 2500 * time.Millisecond},
		{
			"with a higher output limit is that of the shortest responses",
			savorypinforecast.Remaining{OutputTokens: 60000, PromptTokens: 8000},
			5 * time.Second,
		},
	} {
		It(tc.name, func() {
			// The slower streams observed after the fastest one raise the estimate only a
			// little.
			Expect(f.MinDuration(assistant, tc.remaining)).To(BeNumerically("~", tc.want, tc.want/20+time.Millisecond))
			Expect(f.MinDuration(assistant, tc.remaining)).To(BeNumerically(">=", tc.want-time.Millisecond))
		})
	}

	for _, kind := range []savorypinforecast.Kind{{Route: "drafts", Service: "other"}, {Route: "summaries", Service: "assistant"}} {
		// Guards against streams of one route that are refused for what another route's take.
		It("is zero for a kind without observations: "+kind.Route+" of "+kind.Service, func() {
			Expect(f.MinDuration(kind, savorypinforecast.Remaining{OutputTokens: 600, PromptTokens: 8000})).To(BeZero())
		})
	}

	It("follows engines that have become slower for good", func() {
		for range 500 {
			f.Observe(assistant, completedStream(2))
		}
		remaining := savorypinforecast.Remaining{OutputTokens: 600, PromptTokens: 8000}
		Expect(f.MinDuration(assistant, remaining)).To(BeNumerically("~", 10*time.Second, 300*time.Millisecond))
	})

	It("ignores streams without a measurable rate of events", func() {
		g := savorypinforecast.New(savorypinforecast.Config{})
		g.Observe(assistant, savorypinforecast.CompletedStream{Events: 1, TimeToFirstEvent: time.Second, Duration: time.Second, OutputTokens: 600})
		g.Observe(assistant, savorypinforecast.CompletedStream{Events: 9, TimeToFirstEvent: time.Second, Duration: 2 * time.Second})
		Expect(g.MinDuration(assistant, savorypinforecast.Remaining{OutputTokens: 600, PromptTokens: 8000})).To(BeZero())
	})

	// Guards against streams with long prompts that are refused for good after short ones were seen.
	It("of a prompt that is longer than those seen has no more than their time to the first event", func() {
		for range 500 {
			observePrefill(f, 12, 48*time.Millisecond)
		}
		Expect(f.MinDuration(prompts, savorypinforecast.Remaining{PromptTokens: 8200})).To(BeNumerically("~", 48*time.Millisecond, time.Millisecond))
	})

	// Guards against the same where long prompts were seen once.
	It("of a long prompt doesn't rise because of short ones", func() {
		observePrefill(f, 8200, 1072*time.Millisecond)
		for range 500 {
			observePrefill(f, 12, 48*time.Millisecond)
		}
		Expect(f.MinDuration(prompts, savorypinforecast.Remaining{PromptTokens: 8200})).To(BeNumerically("~", 1072*time.Millisecond, time.Millisecond))
	})

	// Guards against an estimate that nothing corrects, as what it refuses isn't seen.
	It("says nothing any more if no stream of the kind has completed for a while", func() {
		now = now.Add(29 * time.Second)
		remaining := savorypinforecast.Remaining{OutputTokens: 600, PromptTokens: 8000}
		Expect(f.MinDuration(assistant, remaining)).NotTo(BeZero())
		now = now.Add(2 * time.Second)
		Expect(f.MinDuration(assistant, remaining)).To(BeZero())
	})

	It("forgets prompts of a size that hasn't been seen for a while", func() {
		observePrefill(f, 12, 20*time.Second)
		now = now.Add(20 * time.Second)
		observePrefill(f, 8200, time.Second)
		now = now.Add(20 * time.Second)
		Expect(f.MinDuration(prompts, savorypinforecast.Remaining{PromptTokens: 8200})).To(BeNumerically("~", time.Second, time.Millisecond))
	})

	// Guards against the same while streams that the estimate allows go on.
	It("lets one stream in twenty pass as a probe, which corrects it if it completes", func() {
		probes := 0
		for range 100 {
			due := f.ProbeDue(assistant)
			Expect(f.ProbeDue(assistant)).To(Equal(due), "a preview counts nothing")
			if f.Probe(assistant) {
				Expect(due).To(BeTrue())
				probes++
			} else {
				Expect(due).To(BeFalse())
			}
		}
		Expect(probes).To(Equal(5))
		f.Observe(assistant, completedStream(0.1))
		Expect(f.MinDuration(assistant, savorypinforecast.Remaining{OutputTokens: 600, PromptTokens: 8000})).To(BeNumerically("~", 500*time.Millisecond, 20*time.Millisecond))
	})

	It("forgets the kinds that aren't retained", func() {
		f.Retain(func(savorypinforecast.Kind) bool { return false })
		Expect(f.MinDuration(assistant, savorypinforecast.Remaining{OutputTokens: 600, PromptTokens: 8000})).To(BeZero())
	})

	// Guards against sound streams that are refused, whatever prompts were seen before.
	It("is never more than a stream takes at an engine with a fixed and a proportional part", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			fixed := rapid.IntRange(0, 1000).Draw(t, "fixed ms")
			micros := rapid.IntRange(0, 1000).Draw(t, "microseconds a token")
			duration := func(tokens int) time.Duration {
				return time.Duration(fixed)*time.Millisecond + time.Duration(tokens*micros)*time.Microsecond
			}
			size := rapid.IntRange(1, 100_000)
			f := savorypinforecast.New(savorypinforecast.Config{})
			for _, tokens := range rapid.SliceOfN(size, 1, 50).Draw(t, "prompts seen") {
				observePrefill(f, tokens, duration(tokens))
			}
			tokens := size.Draw(t, "prompt")
			got := f.MinDuration(prompts, savorypinforecast.Remaining{PromptTokens: tokens})
			if got > duration(tokens)+time.Microsecond {
				t.Fatalf("%d tokens: at least %s, but they take %s", tokens, got, duration(tokens))
			}
		})
	})
})
