package savorypinclaim_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinclaim"
)

var _ = Describe("AttemptLog", func() {
	claimedAttempt := func(n int) savorypinclaim.ClaimedAttempt {
		return savorypinclaim.ClaimedAttempt{
			Attempt: savorypinclaim.Attempt{ID: fmt.Sprint("attempt-", n), Incarnation: 1, Member: "agent"},
			Segment: uint64(n),
		}
	}
	newLog := func(now *time.Time) *savorypinclaim.AttemptLog {
		return savorypinclaim.NewAttemptLog(savorypinclaim.AttemptLogConfig{
			Incarnation: 1,
			MaxBytes:    100,
			MaxRecords:  3,
			Now:         func() time.Time { return *now },
			Retention:   time.Minute,
		})
	}

	for _, tc := range []struct {
		name  string
		evict func(log *savorypinclaim.AttemptLog, now *time.Time)
	}{
		{"after the retention", func(log *savorypinclaim.AttemptLog, now *time.Time) {
			*now = now.Add(time.Hour)
			log.Sweep()
		}},
		{"to stay within its maximum number of records", func(log *savorypinclaim.AttemptLog, _ *time.Time) {
			for n := 10; n < 14; n++ {
				Expect(log.Admit(claimedAttempt(n))).To(Or(Succeed(), MatchError(savorypinclaim.ErrLogFull)))
			}
		}},
		{"to stay within its maximum size", func(log *savorypinclaim.AttemptLog, _ *time.Time) {
			Expect(log.Admit(claimedAttempt(10))).To(Succeed())
			log.End("attempt-10", savorypinclaim.OutcomeDone, &savorypinclaim.Answer{Body: make([]byte, 200)})
		}},
	} {
		It("refuses an attempt whose record it dropped "+tc.name, func(ctx SpecContext) {
			now := time.Unix(1000, 0)
			log := newLog(&now)
			outcome, _ := log.Bar(ctx, claimedAttempt(5))
			Expect(outcome).To(Equal(savorypinclaim.OutcomeNotRun))
			Expect(log.Admit(claimedAttempt(5))).To(MatchError(savorypinclaim.ErrBarred))
			tc.evict(log, &now)
			Expect(log.Admit(claimedAttempt(5))).To(MatchError(savorypinclaim.ErrBelowFloor))
			outcome, _ = log.Bar(ctx, claimedAttempt(4))
			Expect(outcome).To(Equal(savorypinclaim.OutcomeUnknown))
		})
	}

	It("waits for the end of a running attempt that is barred", func() {
		now := time.Unix(1000, 0)
		log := newLog(&now)
		Expect(log.Admit(claimedAttempt(1))).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		outcome, _ := log.Bar(ctx, claimedAttempt(1))
		Expect(outcome).To(Equal(savorypinclaim.OutcomeClaimed))
		go log.End("attempt-1", savorypinclaim.OutcomeDone, &savorypinclaim.Answer{Status: 201})
		outcome, answer := log.Bar(context.Background(), claimedAttempt(1))
		Expect(outcome).To(Equal(savorypinclaim.OutcomeDone))
		Expect(answer.Status).To(Equal(201))
		Expect(log.Admit(claimedAttempt(1))).To(MatchError(savorypinclaim.ErrAlreadyForwarded))
	})

	It("bars an attempt by the floor when all its records are of running attempts", func(ctx SpecContext) {
		now := time.Unix(1000, 0)
		log := newLog(&now)
		for n := 1; n <= 3; n++ {
			Expect(log.Admit(claimedAttempt(n))).To(Succeed())
		}
		Expect(log.Admit(claimedAttempt(4))).To(MatchError(savorypinclaim.ErrLogFull))
		outcome, _ := log.Bar(ctx, claimedAttempt(5))
		Expect(outcome).To(Equal(savorypinclaim.OutcomeNotRun))
		log.End("attempt-1", savorypinclaim.OutcomeDone, nil)
		Expect(log.Admit(claimedAttempt(5))).To(MatchError(savorypinclaim.ErrBelowFloor))
		Expect(log.State().Running).To(Equal(2))
	})
})
