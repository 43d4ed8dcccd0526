package savorypinquarantine_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinquarantine"
)

// Bounds of the platform: the time after which all gateways that are in touch must know, and the
// requests with a part that crashes endpoints that may be sent after that and the fifth crash.
const (
	contactTime = 4 * time.Second
	maxLateSent = 3
)

// Times of the simulated fleet.
const (
	simulationStep = 50 * time.Millisecond
	prefillTime    = time.Second
	maxAttempts    = 3
)

// delivery is a report on its way to all gateways.
type delivery struct {
	at     time.Time
	origin string
	report savorypinquarantine.Report
}

// attempt is a request at an endpoint.
type attempt struct {
	answersAt time.Time
	attempts  int
	poisoned  bool
	gateway   int
	parts     []savorypinfleet.Subject
}

// simulation is a fleet of gateways whose reports arrive late, and endpoints that crash as they
// begin an answer on a prompt with the part "poison".
type simulation struct {
	gateways   []*savorypinquarantine.Registry
	delay      time.Duration
	now        time.Time
	rng        *rand.Rand
	deliveries []delivery
	running    []attempt
	crashes    []time.Time
	sent       []time.Time
	// begun and soundSent count the sound requests.
	begun, soundSent int
}

func newSimulation(gateways int, delay time.Duration, seed uint64) *simulation {
	s := &simulation{delay: delay, now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range gateways {
		s.gateways = append(s.gateways, savorypinquarantine.New(savorypinquarantine.Config{
			Now:       func() time.Time { return s.now },
			OnVerdict: func(savorypinquarantine.Change) {},
			Rank:      func(savorypinfleet.Subject) int { return i },
		}))
	}
	return s
}

// arrive makes a request arrive at a gateway, or be sent again.
func (s *simulation) arrive(a attempt) {
	g := s.gateways[a.gateway]
	if g.Confined(a.parts) != nil || !g.MayCrashAnother(a.attempts, a.parts) {
		return
	}
	a.answersAt = s.now.Add(time.Duration((0.7 + 0.6*s.rng.Float64()) * float64(prefillTime)))
	s.running = append(s.running, a)
	if a.poisoned {
		s.sent = append(s.sent, s.now)
	} else if a.attempts == 0 {
		s.soundSent++
	}
}

// publish sends a gateway's report to the others.
func (s *simulation) publish(gateway int) {
	s.deliveries = append(s.deliveries, delivery{
		at: s.now.Add(s.delay), origin: strconv.Itoa(gateway), report: s.gateways[gateway].Report(),
	})
}

// step lets the answers begin, or the endpoints crash, whose time has come, and delivers reports.
func (s *simulation) step() {
	s.now = s.now.Add(simulationStep)
	due := s.deliveries
	s.deliveries = nil
	for _, d := range due {
		if d.at.After(s.now) {
			s.deliveries = append(s.deliveries, d)
			continue
		}
		for i, g := range s.gateways {
			if strconv.Itoa(i) != d.origin {
				g.Apply(d.origin, d.report, s.delay)
			}
		}
	}
	running := s.running
	s.running = nil
	for _, a := range running {
		switch {
		case a.answersAt.After(s.now):
			s.running = append(s.running, a)
		case a.poisoned:
			s.crashes = append(s.crashes, s.now)
			s.gateways[a.gateway].RecordCrash(savorypinquarantine.Observation{Endpoint: endpoint(len(s.crashes)), Subjects: a.parts})
			s.publish(a.gateway)
			a.attempts++
			if a.attempts < maxAttempts {
				s.arrive(a)
			}
		default:
			s.begun++
			s.gateways[a.gateway].RecordBegin(a.parts)
			s.publish(a.gateway)
		}
	}
}

// run plays a time with rates of sound and poisoned requests a second. The poisoned ones share their
// first part with some of the sound ones.
func (s *simulation) run(d time.Duration, sound, poisoned float64) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
		if s.rng.Float64() < sound*simulationStep.Seconds() {
			s.arrive(attempt{gateway: s.rng.IntN(len(s.gateways)), parts: parts(fmt.Sprintf("first%d", s.rng.IntN(10)))})
		}
		if s.rng.Float64() < poisoned*simulationStep.Seconds() {
			s.arrive(attempt{poisoned: true, gateway: s.rng.IntN(len(s.gateways)), parts: parts("first0", "poison")})
		}
	}
}

// lateSent returns the number of poisoned requests that were sent later than contactTime after the
// fifth crash.
func (s *simulation) lateSent() int {
	const fatal = 5
	if len(s.crashes) < fatal {
		return 0
	}
	late := 0
	for _, at := range s.sent {
		if at.Sub(s.crashes[fatal-1]) > contactTime {
			late++
		}
	}
	return late
}

var _ = Describe("A fleet of gateways", func() {
	for _, c := range []struct {
		gateways        int
		delay           time.Duration
		sound, poisoned float64
	}{
		{1, 0, 8, 0.3},
		{5, 200 * time.Millisecond, 8, 0.3},
		{5, 200 * time.Millisecond, 8, 8},
		{68, 700 * time.Millisecond, 10, 3},
		{300, time.Second, 10, 3},
		{300, time.Second, 10, 15},
	} {
		// Guards against a poison pill that reaches a gateway before it knows what the others saw.
		It(fmt.Sprintf("of %d sends a part that crashes endpoints %d times at most after the fifth crash, at %v a second", c.gateways, maxLateSent, c.poisoned), func() {
			for seed := range uint64(5) {
				s := newSimulation(c.gateways, c.delay, seed)
				s.run(10*time.Second, c.sound, 0)
				s.run(2*time.Minute, c.sound, c.poisoned)
				Expect(s.lateSent()).To(BeNumerically("<=", maxLateSent), fmt.Sprintf("seed %d, %d crashes", seed, len(s.crashes)))
				Expect(len(s.crashes)).To(BeNumerically(">=", 3))
				Expect(s.begun).To(BeNumerically(">=", s.soundSent-len(s.running)))
			}
		})
	}
})
