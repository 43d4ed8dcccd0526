package savorypinforecast_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinforecast"
)

var _ = Describe("The duration of the slowest requests", func() {
	var (
		s      *savorypinforecast.Slowest
		drafts = savorypinforecast.Kind{Route: "drafts", Service: "assistant"}
		sales  = savorypinforecast.Kind{Route: "sales", Service: "ledger"}
	)
	// stream returns a stream of 15 events of 30 ms, slower by a factor.
	stream := func(factor float64) savorypinforecast.CompletedStream {
		scale := func(d time.Duration) time.Duration { return time.Duration(factor * float64(d)) }
		return savorypinforecast.CompletedStream{
			Events: 15, Duration: scale(time.Second + 14*30*time.Millisecond), OutputTokens: 90, PromptTokens: 800, TimeToFirstEvent: scale(time.Second),
		}
	}
	BeforeEach(func() {
		s = savorypinforecast.NewSlowest()
		for i := range 30 {
			s.ObserveStream(drafts, stream(1+float64(i%3)/10))
			s.ObservePlain(sales, time.Duration(50+i)*time.Millisecond)
		}
	})

	for _, c := range []struct {
		name      string
		remaining savorypinforecast.Remaining
		want      time.Duration
	}{
		{"is that of the slowest streams of this size", savorypinforecast.Remaining{OutputTokens: 90, PromptTokens: 800}, 1740 * time.Millisecond},
		// Guards against long streams that are weighed by many short ones.
		{"grows with the output tokens", savorypinforecast.Remaining{OutputTokens: 1020, PromptTokens: 800}, 7320 * time.Millisecond},
		{"grows with a prompt beyond those seen", savorypinforecast.Remaining{OutputTokens: 90, PromptTokens: 1600}, 2940 * time.Millisecond},
		{"is not less for a shorter prompt", savorypinforecast.Remaining{OutputTokens: 90}, 1740 * time.Millisecond},
		{"is less for a stream that has begun", savorypinforecast.Remaining{Events: 5, OutputTokens: 90, PromptTokens: 800}, 1560 * time.Millisecond},
	} {
		It(c.name, func() {
			got, known := s.Stream(drafts, c.remaining)
			Expect(known).To(BeTrue())
			Expect(got).To(BeNumerically("~", c.want, c.want/20))
		})
	}

	It("of plain requests is that of the slowest", func() {
		got, known := s.Plain(sales)
		Expect(known).To(BeTrue())
		Expect(got).To(BeNumerically("~", 79*time.Millisecond, time.Millisecond))
	})

	It("falls slowly if requests become faster", func() {
		for range 300 {
			s.ObservePlain(sales, 10*time.Millisecond)
		}
		got, _ := s.Plain(sales)
		Expect(got).To(BeNumerically("<", 20*time.Millisecond))
	})

	for _, c := range []struct {
		name string
		ask  func() (time.Duration, bool)
	}{
		{"of another kind", func() (time.Duration, bool) {
			return s.Plain(savorypinforecast.Kind{Route: "sales", Service: "books"})
		}},
		{"of a stream that doesn't name its output tokens", func() (time.Duration, bool) { return s.Stream(drafts, savorypinforecast.Remaining{}) }},
		{"of a kind that is no longer retained", func() (time.Duration, bool) {
			s.Retain(func(savorypinforecast.Kind) bool { return false })
			return s.Plain(sales)
		}},
		{"of a kind of which few have been seen", func() (time.Duration, bool) {
			few := savorypinforecast.NewSlowest()
			few.ObservePlain(sales, time.Second)
			return few.Plain(sales)
		}},
	} {
		It("is unknown "+c.name, func() {
			_, known := c.ask()
			Expect(known).To(BeFalse())
		})
	}
})
