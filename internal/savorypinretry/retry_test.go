package savorypinretry_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinretry"
)

var errTry = errors.New("try failed")

var _ = Describe("Quantile", func() {
	It("converges to the configured quantile", func() {
		q := savorypinretry.NewQuantile(savorypinretry.QuantileConfig{
			Fraction: 0.95, Initial: time.Second, Max: time.Minute, Min: time.Millisecond,
		})
		for i := range 20_000 {
			q.Observe(time.Duration(i*7919%100+1) * time.Millisecond)
		}
		Expect(q.Estimate()).To(BeNumerically("~", 95*time.Millisecond, 10*time.Millisecond))
	})
})

// plannedTry is a try in a test case: its duration and whether it fails.
type plannedTry struct {
	duration time.Duration
	fails    bool
}

func TestDo(t *testing.T) {
	for _, tc := range []struct {
		name string
		// budget is the number of retries and hedges that are allowed.
		budget  int
		tries   []plannedTry
		want    int
		wantErr error
		reasons []savorypinretry.Reason
	}{
		{
			name: "first try succeeds", budget: 10, tries: []plannedTry{{duration: time.Millisecond}},
			want: 1, reasons: []savorypinretry.Reason{"first"},
		},
		{
			name: "first try fails", budget: 10, tries: []plannedTry{{fails: true}, {}},
			want: 2, reasons: []savorypinretry.Reason{"first", "retry"},
		},
		{
			name: "first try is slow", budget: 10, tries: []plannedTry{{duration: time.Minute}, {duration: time.Millisecond}},
			want: 2, reasons: []savorypinretry.Reason{"first", "hedge"},
		},
		{
			name: "hedge fails", budget: 10, tries: []plannedTry{{duration: time.Second}, {fails: true}},
			want: 1, reasons: []savorypinretry.Reason{"first", "hedge"},
		},
		{
			name: "budget is empty", budget: 0, tries: []plannedTry{{duration: time.Second, fails: true}, {}},
			wantErr: errTry, reasons: []savorypinretry.Reason{"first"},
		},
		{
			name: "all tries fail", budget: 10, tries: []plannedTry{{fails: true}, {fails: true}, {fails: true}, {}},
			wantErr: errTry, reasons: []savorypinretry.Reason{"first", "retry", "retry"},
		},
		{
			name: "deadline passes", budget: 10, tries: []plannedTry{{duration: time.Hour}, {duration: time.Hour}},
			wantErr: context.DeadlineExceeded, reasons: []savorypinretry.Reason{"first", "hedge"},
		},
		{name: "no endpoint", budget: 10, wantErr: savorypinretry.ErrNoEndpoint},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
				defer cancel()
				var reasons []savorypinretry.Reason
				attempt := func(ctx context.Context, reason savorypinretry.Reason) (func() (int, error), bool) {
					n := len(reasons)
					if n == len(tc.tries) || n > tc.budget {
						return nil, false
					}
					reasons = append(reasons, reason)
					return func() (int, error) { return n + 1, tc.tries[n].run(ctx) }, true
				}
				got, err := savorypinretry.Do(ctx, retryConfig(), attempt)
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

func (p plannedTry) run(ctx context.Context) error {
	select {
	case <-time.After(p.duration):
	case <-ctx.Done():
		return ctx.Err()
	}
	if p.fails {
		return errTry
	}
	return nil
}

func retryConfig() savorypinretry.Config {
	return savorypinretry.Config{
		Backoff: func(int) time.Duration { return time.Millisecond },
		Delay: savorypinretry.NewQuantile(savorypinretry.QuantileConfig{
			Fraction: 0.95, Initial: 50 * time.Millisecond, Max: time.Second, Min: time.Millisecond,
		}),
		MaxTries: 3,
		Now:      time.Now,
		Wait:     time.After,
	}
}
