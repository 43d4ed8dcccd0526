package savorypinlimit_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinlimit"
)

// Bounds of the platform on the requests to an endpoint that has named a limit, over all gateways.
const (
	namedWindow = 4 * time.Second
	namedFactor = 1.5
	namedSlack  = 5
)

// rateFleet simulates gateways that send requests to an endpoint with a limit, and hear of each
// other's requests late.
type rateFleet struct {
	gateways []*rateGateway
	now      time.Time
	rng      *rand.Rand
	// arrivals are the requests that reached the endpoint.
	arrivals []time.Time
	wanted   int
}

// rateGateway is a gateway of a rateFleet.
type rateGateway struct {
	rates *savorypinlimit.SharedRates
	// sent are the times of the gateway's requests to the service.
	sent []time.Time
	// reported is the number of requests in a window that the others know of, and pending that
	// which they are about to hear of.
	reported, pending float64
}

const (
	limitedEndpoint = 7
	demandWindow    = 10 * time.Second
	rateStep        = 10 * time.Millisecond
)

func newRateFleet(n int, seed uint64) *rateFleet {
	f := &rateFleet{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 5))}
	for range n {
		g := &rateGateway{}
		g.rates = savorypinlimit.NewSharedRates(savorypinlimit.SharedRateConfig{
			Now:     func() time.Time { return f.now },
			Random:  f.rng.Float64,
			Busiest: func(string) bool { return f.busiest() == g },
			Share:   func(string) float64 { return f.shareOf(g) },
		})
		f.gateways = append(f.gateways, g)
	}
	return f
}

func (f *rateFleet) shareOf(g *rateGateway) float64 {
	var others []float64
	for _, o := range f.gateways {
		if o != g {
			others = append(others, o.reported)
		}
	}
	return savorypinlimit.ShareOf(g.reported, others, len(f.gateways))
}

// busiest returns the gateway with the most requests.
func (f *rateFleet) busiest() *rateGateway {
	return slices.MaxFunc(f.gateways, func(a, b *rateGateway) int { return cmp.Compare(a.reported, b.reported) })
}

// exchange makes the gateways hear of each other's requests.
func (f *rateFleet) exchange() {
	for _, g := range f.gateways {
		recent := 0
		for _, at := range g.sent {
			if f.now.Sub(at) < demandWindow {
				recent++
			}
		}
		g.reported, g.pending = g.pending, float64(recent)
	}
}

// run plays a time in which the gateway with index i gets demand(i) requests a second. Interval is
// the time between two exchanges. The endpoint names the limit in each answer.
func (f *rateFleet) run(d, interval time.Duration, limit float64, demand func(i int) float64) {
	steps := 0
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(rateStep) {
		if steps%int(interval/rateStep) == 0 {
			f.exchange()
		}
		steps++
		for i, g := range f.gateways {
			if f.rng.Float64() >= demand(i)*rateStep.Seconds() {
				continue
			}
			f.wanted++
			g.sent = append(g.sent, f.now)
			if g.rates.Take(limitedEndpoint) {
				f.arrivals = append(f.arrivals, f.now)
				g.rates.Name(limitedEndpoint, "ledger", limit)
			}
		}
	}
}

// name makes all gateways know a limit.
func (f *rateFleet) name(limit float64) {
	for _, g := range f.gateways {
		g.rates.Name(limitedEndpoint, "ledger", limit)
	}
}

// mostSince returns the most requests that reached the endpoint within namedWindow after a time.
func (f *rateFleet) mostSince(since time.Time) int {
	most, first := 0, 0
	for i, at := range f.arrivals {
		for at.Sub(f.arrivals[first]) > namedWindow || f.arrivals[first].Before(since) && first < i {
			first++
		}
		if !at.Before(since) {
			most = max(most, i-first+1)
		}
	}
	return most
}

func allowed(limit float64) float64 { return namedFactor*limit*namedWindow.Seconds() + namedSlack }

var _ = Describe("The shares of an endpoint's limit", func() {
	even := func(perSecond float64, n int) func(int) float64 {
		return func(int) float64 { return perSecond / float64(n) }
	}
	skewed := func(perSecond float64) func(int) float64 {
		return func(i int) float64 {
			if i < 2 {
				return perSecond / 2
			}
			return 0
		}
	}
	for _, c := range []struct {
		gateways int
		interval time.Duration
		limit    float64
	}{
		{1, time.Second, 7},
		{5, time.Second, 7},
		{5, time.Second, 0},
		{5, time.Second, 0.5},
		{5, time.Second, 60},
		{27, time.Second, 7.4},
		{68, 2 * time.Second, 7},
		{300, 3 * time.Second, 7},
		{300, 3 * time.Second, 40},
		{300, 3 * time.Second, 0},
	} {
		// Guards against an endpoint in need that gets the whole of its limit from each gateway.
		It(fmt.Sprintf("of %d gateways at %v a second keep to it through bursts and shifts of demand", c.gateways, c.limit), func() {
			for seed := range uint64(6) {
				f := newRateFleet(c.gateways, seed)
				f.run(3*time.Second, c.interval, c.limit, even(10, c.gateways))
				f.name(c.limit)
				known := f.now.Add(500 * time.Millisecond)
				demand := max(60, 6*c.limit)
				f.run(8*time.Second, c.interval, c.limit, even(demand, c.gateways))
				f.run(8*time.Second, c.interval, c.limit, skewed(demand))
				f.run(10*time.Second, c.interval, c.limit, func(int) float64 { return 0 })
				f.run(8*time.Second, c.interval, c.limit, even(10*demand, c.gateways))
				f.run(8*time.Second, c.interval, c.limit, func(i int) float64 { return float64(i%3) * demand / float64(c.gateways) })
				Expect(float64(f.mostSince(known))).To(BeNumerically("<=", allowed(c.limit)), fmt.Sprint("seed ", seed))
			}
		})
	}

	It("are used for the most part, whichever gateways the requests come to", func() {
		const limit, seconds = 20.0, 30
		for _, n := range []int{1, 5, 68} {
			for _, demand := range []func(int) float64{even(100, n), skewed(100)} {
				f := newRateFleet(n, 1)
				f.name(limit)
				f.run(demandWindow, time.Second, limit, demand)
				before := len(f.arrivals)
				f.run(seconds*time.Second, time.Second, limit, demand)
				used := float64(len(f.arrivals)-before) / seconds
				Expect(used).To(BeNumerically(">=", limit/2), fmt.Sprint(n, " gateways"))
			}
		}
	})
})

var _ = Describe("A limit that an endpoint names", func() {
	var (
		now   time.Time
		rates *savorypinlimit.SharedRates
	)
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		rates = savorypinlimit.NewSharedRates(savorypinlimit.SharedRateConfig{
			Now: func() time.Time { return now }, Random: func() float64 { return 0.999 }, Busiest: func(string) bool { return true }, Share: func(string) float64 { return 0.5 },
		})
	})
	taken := func(n int) int {
		count := 0
		for range n {
			if rates.Take(limitedEndpoint) {
				count++
			}
		}
		return count
	}

	It("holds at once for this gateway's share, and not for other endpoints", func() {
		Expect(taken(5)).To(Equal(5))
		Expect(rates.Name(limitedEndpoint, "ledger", 10)).To(BeTrue())
		Expect(taken(5)).To(BeZero())
		Expect(rates.Take(8)).To(BeTrue())
		now = now.Add(time.Second)
		Expect(taken(9)).To(Equal(4))
		Expect(rates.Wait(limitedEndpoint)).To(BeNumerically("~", 111*time.Millisecond, 2*time.Millisecond))
	})

	// Guards against a preview that differs from what it previews, or uses up a share.
	It("may be previewed, which takes nothing", func() {
		Expect(rates.Chance(limitedEndpoint)).To(Equal(1.0))
		rates.Name(limitedEndpoint, "ledger", 1)
		Expect(rates.Chance(limitedEndpoint)).To(BeZero())
		now = now.Add(500 * time.Millisecond)
		for range 5 {
			Expect(rates.Chance(limitedEndpoint)).To(BeNumerically("~", 0.225, 0.001), "a share of half a request")
		}
		rates.Name(limitedEndpoint, "ledger", 10)
		now = now.Add(time.Second)
		for range 4 {
			Expect(rates.Chance(limitedEndpoint)).To(Equal(1.0))
			Expect(taken(1)).To(Equal(1))
		}
		Expect(rates.Chance(limitedEndpoint)).To(BeZero())
		Expect(taken(1)).To(BeZero())
	})

	It("follows the last answer", func() {
		rates.Name(limitedEndpoint, "ledger", 10)
		Expect(rates.Name(limitedEndpoint, "ledger", 10.5)).To(BeFalse(), "within the tolerance")
		Expect(rates.Name(limitedEndpoint, "ledger", 100)).To(BeTrue())
		now = now.Add(time.Second)
		Expect(taken(100)).To(Equal(45))
	})

	It("ends with an answer that names none, unless it was on its way", func() {
		rates.Name(limitedEndpoint, "ledger", 0)
		Expect(rates.Omit(limitedEndpoint)).To(BeFalse())
		now = now.Add(2 * time.Second)
		Expect(rates.Omit(limitedEndpoint)).To(BeTrue())
		Expect(taken(50)).To(Equal(50))
	})

	It("ends with the incarnation that named it", func() {
		rates.Name(limitedEndpoint, "ledger", 0)
		rates.Retain(func(uint64) bool { return false })
		Expect(rates.Len()).To(BeZero())
	})

	It("is learned from other gateways, and so is its end", func() {
		rates.Name(limitedEndpoint, "ledger", 10)
		other := savorypinlimit.NewSharedRates(savorypinlimit.SharedRateConfig{
			Now: func() time.Time { return now }, Busiest: func(string) bool { return true }, Share: func(string) float64 { return 0.5 },
		})
		report := rates.Report()
		Expect(report).To(HaveLen(1))
		Expect(other.Apply("a", report[0], "ledger")).To(BeTrue())
		Expect(other.Limited(limitedEndpoint)).To(BeTrue())
		Expect(other.Apply("a", report[0], "ledger")).To(BeFalse(), "sent again")
		now = now.Add(2 * time.Second)
		rates.Omit(limitedEndpoint)
		Expect(other.Apply("a", rates.Report()[0], "ledger")).To(BeTrue())
		Expect(other.Limited(limitedEndpoint)).To(BeFalse())
		now = now.Add(time.Minute)
		Expect(rates.Report()).To(BeEmpty())
	})

	It("may be huge", func() {
		rates.Name(limitedEndpoint, "ledger", 1e300)
		now = now.Add(time.Second)
		Expect(taken(1000)).To(Equal(1000))
	})
})

var _ = Describe("ShareOf", func() {
	for _, c := range []struct {
		own      float64
		others   []float64
		gateways int
		share    float64
	}{
		{0, nil, 1, 1},
		{50, nil, 1, 1},
		{10, []float64{10, 10, 10}, 4, 0.25},
		{10, nil, 4, 0.25},
	} {
		It(strconv.FormatFloat(c.own, 'f', 0, 64)+fmt.Sprint(" of ", c.others, " and ", c.gateways, " gateways"), func() {
			Expect(savorypinlimit.ShareOf(c.own, c.others, c.gateways)).To(BeNumerically("~", c.share, 1e-9))
		})
	}

	It("adds up to one over gateways with different numbers", func() {
		counts := []float64{0, 3, 40, 7, 0}
		sum := 0.0
		for i, own := range counts {
			others := append(append([]float64{}, counts[:i]...), counts[i+1:]...)
			sum += savorypinlimit.ShareOf(own, others, len(counts))
		}
		Expect(sum).To(BeNumerically("~", 1, 1e-9))
	})
})
