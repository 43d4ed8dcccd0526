package savorypinmove_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinconfig"
	"savorypin/internal/savorypinmove"
)

// The target is 3,600 requests per second over 20 entries and 8 services, and 23 kB per
// second for all control traffic of a daemon, of which evidence may take half.
const (
	targetEntries = 20
	// targetRequestRate is the number of requests per second of one service at one entry.
	targetRequestRate = 3600 / targetEntries / 8
	// maxEvidenceRate is in bytes per second, from all entries.
	maxEvidenceRate = 23_000 / 2
)

// observeAttempts adds n attempts, spread over one second, to a recorder.
func observeAttempts(r *savorypinmove.Recorder, random *rand.Rand, t savorypinmove.Traffic, now time.Time, n int) {
	for i := range n {
		o := savorypin.Observation{
			TokenInterval: time.Duration(1e7 * (1 + random.Float64())),
			FirstToken:    time.Duration(1e8 * (1 + random.Float64())),
			Load:          1.2 * random.Float64(),
			Purpose:       savorypin.PurposeFirst,
			Route:         fmt.Sprintf("route-%d", random.IntN(4)),
			Version:       "a",
		}
		if random.Float64() < 0.3 {
			o.Version = "b"
		}
		unit := fmt.Sprintf("domain faisalabad-%d", random.IntN(3))
		r.Observe(now.Add(time.Duration(i)*time.Second/time.Duration(n)), t, o, unit)
	}
}

var _ = Describe("Evidence", func() {
	It("of all entries at the target load takes at most half of a daemon's control traffic", func() {
		t := savorypinmove.TrafficOf(snapshotOf(moveAt("m", savorypin.MoveRunning, 3, 0.3)), "s")
		r := savorypinmove.NewRecorder()
		random := rand.New(rand.NewPCG(1, 1))
		const seconds = 120
		bytes := 0
		for second := range seconds {
			now := noon.Add(time.Duration(second) * time.Second)
			observeAttempts(r, random, t, now, targetRequestRate)
			data, err := msgpack.Marshal(r.Flush(now, func(savorypinmove.Key) bool { return true }))
			Expect(err).NotTo(HaveOccurred())
			bytes += len(data)
		}
		Expect(targetEntries * bytes / seconds).To(BeNumerically("<=", maxEvidenceRate))
	})
})

// BenchmarkChooseNaive is the baseline of BenchmarkChoose: an independent random draw
// for each request.
func BenchmarkChooseNaive(b *testing.B) {
	traffic := savorypinmove.TrafficOf(snapshotOf(moveAt("m", savorypin.MoveRunning, 3, 0.3)), "s")
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_ = rand.Float64() < traffic.Share()
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, moves := range []int{1, 50} {
		b.Run(fmt.Sprintf("moves=%d", moves), func(b *testing.B) {
			all := []savorypinconfig.Move{moveAt("m", savorypin.MoveRunning, 1000, 0.3)}
			for i := range moves - 1 {
				all = append(all, moveAt(fmt.Sprintf("old-%d", i), savorypin.MoveRolledBack, int64(i+1), 0))
			}
			snapshot, rejections := snapshotOf(all...), savorypinmove.NewRejectionSet()
			s := savorypinmove.RequestSampler{Rand: rand.Float64}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					t := savorypinmove.TrafficWithRejections(snapshot, "s", rejections.Rejected)
					s.Sample(t.Move(), t.Share())
				}
			})
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	t := savorypinmove.TrafficOf(snapshotOf(moveAt("m", savorypin.MoveRunning, 3, 0.3)), "s")
	r := savorypinmove.NewRecorder()
	random := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for i := range b.N {
		observeAttempts(r, random, t, noon.Add(time.Duration(i)*time.Millisecond), 1)
	}
}
