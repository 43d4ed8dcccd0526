package savorypinforecast_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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

// The gateway refuses resumed streams that can't complete in time, as when callers return
// late after a power loss of all gateways. An estimate that is too high would refuse
// streams that can still complete.
var _ = Describe("The forecast for streams", func() {
	var f *savorypinforecast.Forecast
	BeforeEach(func() {
		f = savorypinforecast.New()
		for _, slowdown := range []float64{2, 1.3, 1, 1.7, 3} {
			f.Observe("assistant", completedStream(slowdown))
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
			Expect(f.MinDuration("assistant", tc.remaining)).To(BeNumerically("~", tc.want, tc.want/20+time.Millisecond))
			Expect(f.MinDuration("assistant", tc.remaining)).To(BeNumerically(">=", tc.want-time.Millisecond))
		})
	}

	It("is zero for a service without observations", func() {
		Expect(f.MinDuration("other", savorypinforecast.Remaining{OutputTokens: 600, PromptTokens: 8000})).To(BeZero())
	})

	It("follows engines that have become slower for good", func() {
		for range 500 {
			f.Observe("assistant", completedStream(2))
		}
		remaining := savorypinforecast.Remaining{OutputTokens: 600, PromptTokens: 8000}
		Expect(f.MinDuration("assistant", remaining)).To(BeNumerically("~", 10*time.Second, 300*time.Millisecond))
	})

	It("ignores streams without a measurable rate of events", func() {
		g := savorypinforecast.New()
		g.Observe("assistant", savorypinforecast.CompletedStream{Events: 1, TimeToFirstEvent: time.Second, Duration: time.Second, OutputTokens: 600})
		g.Observe("assistant", savorypinforecast.CompletedStream{Events: 9, TimeToFirstEvent: time.Second, Duration: 2 * time.Second})
		Expect(g.MinDuration("assistant", savorypinforecast.Remaining{OutputTokens: 600, PromptTokens: 8000})).To(BeZero())
	})
})
