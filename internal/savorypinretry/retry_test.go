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
		allowed int
		tries   []try
		want    int
		wantErr error
		reasons []savorypinretry.Reason
	}{
		{
			name: "first try succeeds", allowed: 10, tries: []try{{after: time.Millisecond}},
			want: 1, reasons: []savorypinretry.Reason{"first"},
		},
		{
			name: "first try fails", allowed: 10, tries: []try{{fails: true}, {}},
			want: 2, reasons: []savorypinretry.Reason{"first", "retry"},
		},
		{
			name: "first try is slow", allowed: 10, tries: []try{{after: time.Minute}, {after: time.Millisecond}},
			want: 2, reasons: []savorypinretry.Reason{"first", "hedge"},
		},
		{
			name: "hedge fails", allowed: 10, tries: []try{{after: time.Second}, {fails: true}},
			want: 1, reasons: []savorypinretry.Reason{"first", "hedge"},
		},
		{
			name: "budget is empty", allowed: 0, tries: []try{{after: time.Second, fails: true}, {}},
			wantErr: errTry, reasons: []savorypinretry.Reason{"first"},
		},
		{
			name: "all tries fail", allowed: 10, tries: []try{{fails: true}, {fails: true}, {fails: true}, {}},
			wantErr: errTry, reasons: []savorypinretry.Reason{"first", "retry", "retry"},
		},
		{
			name: "deadline passes", allowed: 10, tries: []try{{after: time.Hour}, {after: time.Hour}},
			wantErr: context.DeadlineExceeded, reasons: []savorypinretry.Reason{"first", "hedge"},
		},
		{name: "no endpoint", allowed: 10, wantErr: savorypinretry.ErrNoEndpoint},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
				defer cancel()
				var reasons []savorypinretry.Reason
				attempt := func(ctx context.Context, reason savorypinretry.Reason) (func() (int, error), bool) {
					n := len(reasons)
					if n == len(tc.tries) || n > tc.allowed {
						return nil, false
					}
					reasons = append(reasons, reason)
					return func() (int, error) { return n + 1, tc.tries[n].run(ctx) }, true
				}
				got, err := savorypinretry.Do(ctx, hedger(), attempt)
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

func hedger() savorypinretry.HedgerConfig {
	return savorypinretry.HedgerConfig{
		Backoff: func(int) time.Duration { return time.Millisecond },
		Delay: savorypinretry.NewQuantile(savorypinretry.QuantileConfig{
			Fraction: 0.95, Initial: 50 * time.Millisecond, Max: time.Second, Min: time.Millisecond,
		}),
		MaxTries: 3,
		Now:      time.Now,
		Wait:     time.After,
	}
}
