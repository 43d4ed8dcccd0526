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
	ticket := func(n int) savorypinclaim.Ticket {
		return savorypinclaim.Ticket{
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
		name   string
		forget func(log *savorypinclaim.AttemptLog, now *time.Time)
	}{
		{"after the retention", func(log *savorypinclaim.AttemptLog, now *time.Time) {
			*now = now.Add(time.Hour)
			log.Sweep()
		}},
		{"for want of records", func(log *savorypinclaim.AttemptLog, _ *time.Time) {
			for n := 10; n < 14; n++ {
				Expect(log.Admit(ticket(n))).To(Or(Succeed(), MatchError(savorypinclaim.ErrBusy)))
			}
		}},
		{"for want of bytes", func(log *savorypinclaim.AttemptLog, _ *time.Time) {
			Expect(log.Admit(ticket(10))).To(Succeed())
			log.End("attempt-10", savorypinclaim.OutcomeDone, &savorypinclaim.Answer{Body: make([]byte, 200)})
		}},
	} {
		It("refuses what it forgot "+tc.name, func(ctx SpecContext) {
			now := time.Unix(1000, 0)
			log := newLog(&now)
			outcome, _ := log.Bar(ctx, ticket(5))
			Expect(outcome).To(Equal(savorypinclaim.OutcomeNotRun))
			Expect(log.Admit(ticket(5))).To(MatchError(savorypinclaim.ErrBarred))
			tc.forget(log, &now)
			Expect(log.Admit(ticket(5))).To(MatchError(savorypinclaim.ErrLate))
			outcome, _ = log.Bar(ctx, ticket(4))
			Expect(outcome).To(Equal(savorypinclaim.OutcomeUnknown))
		})
	}

	It("waits for the end of an attempt that is barred while it is under way", func() {
		now := time.Unix(1000, 0)
		log := newLog(&now)
		Expect(log.Admit(ticket(1))).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		outcome, _ := log.Bar(ctx, ticket(1))
		Expect(outcome).To(Equal(savorypinclaim.OutcomeClaimed))
		go log.End("attempt-1", savorypinclaim.OutcomeDone, &savorypinclaim.Answer{Status: 201})
		outcome, answer := log.Bar(context.Background(), ticket(1))
		Expect(outcome).To(Equal(savorypinclaim.OutcomeDone))
		Expect(answer.Status).To(Equal(201))
		Expect(log.Admit(ticket(1))).To(MatchError(savorypinclaim.ErrSeen))
	})

	It("bars without a record when it is full of attempts that are under way", func(ctx SpecContext) {
		now := time.Unix(1000, 0)
		log := newLog(&now)
		for n := 1; n <= 3; n++ {
			Expect(log.Admit(ticket(n))).To(Succeed())
		}
		Expect(log.Admit(ticket(4))).To(MatchError(savorypinclaim.ErrBusy))
		outcome, _ := log.Bar(ctx, ticket(5))
		Expect(outcome).To(Equal(savorypinclaim.OutcomeNotRun))
		log.End("attempt-1", savorypinclaim.OutcomeDone, nil)
		Expect(log.Admit(ticket(5))).To(MatchError(savorypinclaim.ErrLate))
		Expect(log.State().Running).To(Equal(2))
	})
})
