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
			t.Fatalf("attempt %d (%s) was refused: %v", i, purpose, err)
		}
		l.chargeAttempt(purpose)
		l.chargeAttempt(savorypin.PurposeResume)
	}
	for _, purpose := range retries {
		if err := l.checkRetryBudget(purpose); !errors.Is(err, errRetryBudget) {
			t.Errorf("%s was not refused when the budget was spent: got error %v", purpose, err)
		}
	}
	for _, purpose := range []savorypin.Purpose{savorypin.PurposeFirst, savorypin.PurposeResume} {
		if err := l.checkRetryBudget(purpose); err != nil {
			t.Errorf("%s was refused: %v", purpose, err)
		}
	}
	if got := l.retries.Remaining(); got != 0 {
		t.Errorf("got %d remaining retries, want 0", got)
	}
	for range 10 {
		l.chargeAttempt(purposeByReason[savorypinretry.ReasonFirst])
	}
	if got := l.retries.Remaining(); got != 1 {
		t.Errorf("got %d remaining retries after ten first attempts, want 1", got)
	}
}
