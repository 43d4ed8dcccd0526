package savorypinresume_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinresume"
)

// placer places resumes on the first endpoint that has capacity.
type placer struct {
	endpoints []string
	order     []int
	rate      float64
	backlog   map[string]int
}

func (p *placer) place(id, tokens int) func(*savorypinresume.QueuedResume) bool {
	return func(r *savorypinresume.QueuedResume) bool {
		for _, e := range p.endpoints {
			if r.IsFull(e, p.rate) {
				continue
			}
			r.Assign(e)
			p.backlog[e] += tokens
			p.order = append(p.order, id)
			return true
		}
		return false
	}
}

var _ = Describe("ResumeQueue", func() {
	It("places resumes in order, within the maximum prefill backlog", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const rate = 1000
			queue := savorypinresume.NewResumeQueue(savorypinresume.ResumeQueueConfig{MaxPrefillBacklog: time.Second})
			p := &placer{backlog: map[string]int{}, endpoints: []string{"a", "b", "c"}, rate: rate}
			tokens := rapid.SliceOfN(rapid.IntRange(1, 1500), 0, 40).Draw(t, "tokens")
			var resumes []*savorypinresume.QueuedResume
			for i, n := range tokens {
				resumes = append(resumes, queue.Enqueue("s", n, p.place(i, n)))
			}
			for e, backlog := range p.backlog {
				if backlog > rate && backlog > maxOf(tokens) {
					t.Fatalf("endpoint %s has a backlog of %d tokens", e, backlog)
				}
			}
			after, refused := queue.Refusal("s", rate)
			if refused != (queue.Waiting() > 0) || (refused && after < time.Second) {
				t.Fatalf("refused %v after %s with %d waiting", refused, after, queue.Waiting())
			}
			for _, resume := range resumes {
				resume.Release()
				resume.Release()
			}
			if queue.Waiting() != 0 || len(p.order) > len(tokens) {
				t.Fatalf("%d resumes wait, %d were placed", queue.Waiting(), len(p.order))
			}
			for i := 1; i < len(p.order); i++ {
				if p.order[i] < p.order[i-1] {
					t.Fatalf("resume %d was placed before %d", p.order[i-1], p.order[i])
				}
			}
		})
	})

	It("spreads the resumes of a failed failure domain over time instead of overloading the endpoints", func() {
		const resumes, tokens, rate = 1000, 500, 8000
		queue := savorypinresume.NewResumeQueue(savorypinresume.ResumeQueueConfig{MaxPrefillBacklog: time.Second})
		p := &placer{backlog: map[string]int{}, rate: rate}
		for i := range 20 {
			p.endpoints = append(p.endpoints, fmt.Sprintf("e%d", i))
		}
		for i := range resumes {
			queue.Enqueue("s", tokens, p.place(i, tokens))
		}
		// Without the queue, each endpoint gets an even share of the resumes at once,
		// which is more than the queue allows.
		evenShare := resumes * tokens / len(p.endpoints)
		Expect(evenShare).To(BeNumerically(">", rate))
		for _, backlog := range p.backlog {
			Expect(backlog).To(BeNumerically("<=", rate))
		}
		after, refused := queue.Refusal("s", rate*20)
		Expect(refused).To(BeTrue())
		Expect(after).To(BeNumerically(">=", time.Second))
		_, refused = queue.Refusal("other", rate)
		Expect(refused).To(BeFalse())
	})
})

func maxOf(numbers []int) int {
	largest := 0
	for _, n := range numbers {
		largest = max(largest, n)
	}
	return largest
}

var _ = Describe("Memory", func() {
	It("never reserves more than its limit, and keeps a part for resumes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const limit = 1000
			memory := savorypinresume.NewMemory(savorypinresume.MemoryConfig{Bytes: limit, Object: "entry"})
			var reservations []int
			for i := range rapid.IntRange(0, 50).Draw(t, "steps") {
				if len(reservations) > 0 && rapid.Bool().Draw(t, fmt.Sprintf("release%d", i)) {
					memory.Release(reservations[0])
					reservations = reservations[1:]
				}
				n := rapid.IntRange(1, 400).Draw(t, fmt.Sprintf("bytes%d", i))
				purpose := rapid.SampledFrom([]savorypin.Purpose{savorypin.PurposeFirst, savorypin.PurposeResume}).
					Draw(t, fmt.Sprintf("purpose%d", i))
				before := memory.Used()
				err := memory.Reserve(purpose, n)
				if err == nil {
					reservations = append(reservations, n)
				} else if savorypin.KindOf(err) != savorypin.KindNotRun || before+n <= limit*8/10 {
					t.Fatalf("refused %d bytes with %d reserved: %v", n, before, err)
				}
				if memory.Used() > limit || (err == nil && purpose == savorypin.PurposeFirst && memory.Used() > limit*8/10) {
					t.Fatalf("%d bytes are reserved", memory.Used())
				}
			}
		})
	})

	It("evicts answers that are kept for late readers before it refuses a reservation", func() {
		var memory *savorypinresume.Memory
		memory = savorypinresume.NewMemory(savorypinresume.MemoryConfig{
			Bytes: 100, Evict: func() { memory.Release(70) }, Object: "entry",
		})
		Expect(memory.Reserve(savorypin.PurposeFirst, 70)).To(Succeed())
		Expect(memory.Reserve(savorypin.PurposeFirst, 60)).To(Succeed())
		Expect(memory.Used()).To(Equal(60))
	})
})

var _ = Describe("LocationTable", func() {
	location := func(id string, number int, expires time.Time) savorypinresume.Location {
		return savorypinresume.Location{
			Agent: fmt.Sprint("agent-", number), Attempt: attempt(number), Expires: expires,
			Generation: savorypin.GenerationID(id),
		}
	}

	It("keeps the newest location of a generation, within its limit, until the location expires", func() {
		now := time.Unix(100, 0)
		locations := savorypinresume.NewLocationTable(2)
		locations.Put(location("g", 3, now))
		locations.Put(location("g", 2, now.Add(time.Hour)))
		got, ok := locations.Get("g")
		Expect(ok).To(BeTrue())
		Expect(got.Agent).To(Equal("agent-3"))
		locations.Put(location("h", 1, now.Add(time.Hour)))
		locations.Put(location("i", 1, now.Add(time.Hour)))
		Expect(locations.Len()).To(Equal(2))
		locations.Sweep(now.Add(time.Second))
		_, ok = locations.Get("g")
		Expect(ok).To(BeFalse())
	})
})
