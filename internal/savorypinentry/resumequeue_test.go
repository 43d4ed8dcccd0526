package savorypinentry_test

import (
	"context"
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
)

// failFirstAttempt completes generations of one token, which newTestCluster needs. For
// any other generation, it fails the first attempt after one token, and keeps later
// attempts open without sending a token.
func failFirstAttempt(ctx context.Context, s *savorypinmember.Stream, first savorypinmember.Frame) error {
	start, err := savorypinmember.Decode[savorypinmember.Start](first)
	if err != nil {
		return err
	}
	if start.Generation.MaxTokens == 1 {
		return produce(ctx, s, first)
	}
	if start.Attempt.ID.Number > 1 {
		_, err := s.Receive(ctx)
		return err
	}
	msg := savorypinmember.Tokens{Attempt: start.Attempt.ID, Tokens: []savorypin.Token{{ID: 1}}}
	if err := s.Send(ctx, savorypinmember.FrameTokens, &msg); err != nil {
		return err
	}
	return savorypin.Errorf(savorypin.KindIncomplete, start.Endpoint, "engine closed the stream early")
}

var _ = Describe("Entry", func() {
	It("refuses new work while resumes wait for prefill", func() {
		slow := fastEngine("engine-1")
		slow.PrefillPerSecond = 1
		slow.Running = 1
		// Both generations start on engine-0, which is faster, and fail there. The resume
		// of one uses up the prefill capacity of engine-1, so that the other waits.
		c := newTestCluster(GinkgoTB(), failFirstAttempt, fastEngine("engine-0"), slow)
		for range 2 {
			_, err := c.entry.Start(request(100))
			Expect(err).NotTo(HaveOccurred())
		}
		var refused *savorypin.Error
		Eventually(func() bool {
			_, err := c.entry.Start(request(1))
			return errors.As(err, &refused)
		}).WithTimeout(eventTimeout).Should(BeTrue())
		Expect(refused.Kind).To(Equal(savorypin.KindNotRun))
		Expect(refused.RetryAfter).To(BeNumerically(">", 0))
		for _, state := range c.entry.Relays() {
			if state.Delivered > 0 && !state.Finished {
				Expect(state.Delivered).To(Equal(1))
			}
		}
	})
})
