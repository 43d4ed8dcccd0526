package savorypinentry

import (
	"errors"
	"testing"

	"github.com/rcrowley/go-metrics"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinretry"
)

func TestCallsAndGenerationsShareTheBudget(t *testing.T) {
	const burst = 20
	l := &limits{counters: &counters{registry: metrics.NewRegistry()}}
	again := []savorypin.Purpose{
		savorypin.PurposeHedge,
		savorypin.PurposeRetry,
		purposes[savorypinretry.ReasonHedge],
		purposes[savorypinretry.ReasonRetry],
	}
	for i := range burst {
		purpose := again[i%len(again)]
		if err := l.mayTry(purpose); err != nil {
			t.Fatalf("try %d, %s: %v", i, purpose, err)
		}
		l.begun(purpose)
		l.begun(savorypin.PurposeResume)
	}
	for _, purpose := range again {
		if err := l.mayTry(purpose); !errors.Is(err, errRetryBudget) {
			t.Errorf("%s is not refused: %v", purpose, err)
		}
	}
	for _, purpose := range []savorypin.Purpose{savorypin.PurposeFirst, savorypin.PurposeResume} {
		if err := l.mayTry(purpose); err != nil {
			t.Errorf("%s: %v", purpose, err)
		}
	}
	if got := l.retries.Saved(); got != 0 {
		t.Errorf("%d retries are left", got)
	}
	for range 10 {
		l.begun(purposes[savorypinretry.ReasonFirst])
	}
	if got := l.retries.Saved(); got != 1 {
		t.Errorf("%d retries are left after ten first attempts", got)
	}
}
