package savorypinentry

import (
	"errors"
	"testing"

	"github.com/rcrowley/go-metrics"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinretry"
)

func TestCallsAndGenerationsShareRetryBudget(t *testing.T) {
	const burst = 20
	l := &limits{counters: &counters{registry: metrics.NewRegistry()}}
	retries := []savorypin.Purpose{
		savorypin.PurposeHedge,
		savorypin.PurposeRetry,
		purposeByReason[savorypinretry.ReasonHedge],
		purposeByReason[savorypinretry.ReasonRetry],
	}
	for i := range burst {
		purpose := retries[i%len(retries)]
		if err := l.checkRetryBudget(purpose); err != nil {
			t.Fatalf("try %d, %s: %v", i, purpose, err)
		}
		l.chargeAttempt(purpose)
		l.chargeAttempt(savorypin.PurposeResume)
	}
	for _, purpose := range retries {
		if err := l.checkRetryBudget(purpose); !errors.Is(err, errRetryBudget) {
			t.Errorf("%s is not refused: %v", purpose, err)
		}
	}
	for _, purpose := range []savorypin.Purpose{savorypin.PurposeFirst, savorypin.PurposeResume} {
		if err := l.checkRetryBudget(purpose); err != nil {
			t.Errorf("%s: %v", purpose, err)
		}
	}
	if got := l.retries.Remaining(); got != 0 {
		t.Errorf("%d retries are left", got)
	}
	for range 10 {
		l.chargeAttempt(purposeByReason[savorypinretry.ReasonFirst])
	}
	if got := l.retries.Remaining(); got != 1 {
		t.Errorf("%d retries are left after ten first attempts", got)
	}
}
