package savorypinretry_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"savorypin/internal/savorypinretry"
)

var errTry = errors.New("try failed")

var _ = Describe("Budget", func() {
	It("never grants more than its burst and its share of the calls", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			burst := rapid.Float64Range(0, 30).Draw(t, "burst")
			ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
			budget := savorypinretry.NewBudget(savorypinretry.BudgetConfig{Burst: burst, Ratio: ratio})
			calls, retries := 0.0, 0.0
			for _, call := range rapid.SliceOf(rapid.Bool()).Draw(t, "calls") {
				if call {
					budget.Deposit()
					calls++
				} else if budget.Withdraw() {
					retries++
				}
				if retries > burst+ratio*calls+1e-6 {
					t.Fatalf("%v retries after %v calls", retries, calls)
				}
			}
		})
	})
})

var _ = Describe("Quantile", func() {
	It("settles where the fraction of the durations is below it", func() {
		q := savorypinretry.NewQuantile(savorypinretry.QuantileConfig{
			Fraction: 0.95, Initial: time.Second, Max: time.Minute, Min: time.Millisecond,
		})
		for i := range 20_000 {
			q.Observe(time.Duration(i*7919%100+1) * time.Millisecond)
		}
		Expect(q.Estimate()).To(BeNumerically("~", 95*time.Millisecond, 10*time.Millisecond))
	})
})

// try is one try of a table: how long it takes and whether it fails.
type try struct {
	after time.Duration
	fails bool
}

func TestDo(t *testing.T) {
	for _, tc := range []struct {
		name    string
		burst   float64
		tries   []try
		want    int
		wantErr error
		reasons []savorypinretry.Reason
	}{
		{
			name: "first try succeeds", burst: 10, tries: []try{{after: time.Millisecond}},
			want: 1, reasons: []savorypinretry.Reason{"first"},
		},
		{
			name: "first try fails", burst: 10, tries: []try{{fails: true}, {}},
			want: 2, reasons: []savorypinretry.Reason{"first", "retry"},
		},
		{
			name: "first try is slow", burst: 10, tries: []try{{after: time.Minute}, {after: time.Millisecond}},
			want: 2, reasons: []savorypinretry.Reason{"first", "hedge"},
		},
		{
			name: "hedge fails", burst: 10, tries: []try{{after: time.Second}, {fails: true}},
			want: 1, reasons: []savorypinretry.Reason{"first", "hedge"},
		},
		{
			name: "budget is empty", burst: 0, tries: []try{{after: time.Second, fails: true}},
			wantErr: errTry, reasons: []savorypinretry.Reason{"first"},
		},
		{
			name: "all tries fail", burst: 10, tries: []try{{fails: true}, {fails: true}, {fails: true}},
			wantErr: errTry, reasons: []savorypinretry.Reason{"first", "retry", "retry"},
		},
		{
			name: "deadline passes", burst: 10, tries: []try{{after: time.Hour}, {after: time.Hour}},
			wantErr: context.DeadlineExceeded, reasons: []savorypinretry.Reason{"first", "hedge"},
		},
		{name: "no endpoint", burst: 10, wantErr: savorypinretry.ErrNoEndpoint},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
				defer cancel()
				var reasons []savorypinretry.Reason
				attempt := func(ctx context.Context, reason savorypinretry.Reason) (func() (int, error), bool) {
					n := len(reasons)
					if n == len(tc.tries) {
						return nil, false
					}
					reasons = append(reasons, reason)
					return func() (int, error) { return n + 1, tc.tries[n].run(ctx) }, true
				}
				got, err := savorypinretry.Do(ctx, hedger(tc.burst), attempt)
				if !errors.Is(err, tc.wantErr) || (err == nil && got != tc.want) {
					t.Errorf("got %d, %v", got, err)
				}
				if len(reasons) != len(tc.reasons) {
					t.Fatalf("tries: %v", reasons)
				}
				for i := range reasons {
					if reasons[i] != tc.reasons[i] {
						t.Errorf("tries: %v", reasons)
					}
				}
			})
		})
	}
}

func (y try) run(ctx context.Context) error {
	select {
	case <-time.After(y.after):
	case <-ctx.Done():
		return ctx.Err()
	}
	if y.fails {
		return errTry
	}
	return nil
}

func hedger(burst float64) savorypinretry.HedgerConfig {
	return savorypinretry.HedgerConfig{
		Backoff: func(int) time.Duration { return time.Millisecond },
		Budget:  savorypinretry.NewBudget(savorypinretry.BudgetConfig{Burst: burst, Ratio: 0.1}),
		Delay: savorypinretry.NewQuantile(savorypinretry.QuantileConfig{
			Fraction: 0.95, Initial: 50 * time.Millisecond, Max: time.Second, Min: time.Millisecond,
		}),
		MaxTries: 3,
		Now:      time.Now,
		Wait:     time.After,
	}
}
