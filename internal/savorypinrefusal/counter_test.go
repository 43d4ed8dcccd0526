package savorypinrefusal_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinrefusal"
	"savorypin/internal/savorypintest"
)

func Test(t *testing.T) {
	savorypintest.RunSuite(t, "savorypinrefusal")
}

var _ = Describe("Counter", func() {
	for _, tc := range []struct {
		name string
		err  error
		want int
	}{
		{"a request over a limit", savorypin.Errorf(savorypin.KindLimited, "shops", "over the limit"), 1},
		{"a request that was not run", savorypin.Errorf(savorypin.KindNotRun, "assistant", "no endpoint"), 1},
		{"no invalid request", savorypin.Errorf(savorypin.KindInvalid, "assistant", "bad"), 0},
		{"no other error", errors.New("broken"), 0},
	} {
		It("counts "+tc.name, func() {
			var counter savorypinrefusal.Counter
			counter.Record("shops", tc.err, time.Unix(1, 0))
			Expect(counter.State().Refusals).To(HaveLen(tc.want))
		})
	}

	It("counts refusals, keeps the last reason and bounds its size", func() {
		var counter savorypinrefusal.Counter
		for i := range savorypinrefusal.MaxRefusals + 5 {
			counter.Record("shops", savorypin.Errorf(savorypin.KindNotRun, fmt.Sprint(i), "reason %d", i), time.Unix(int64(i), 0))
		}
		counter.Record("shops", savorypin.Errorf(savorypin.KindNotRun, "9", "again"), time.Unix(savorypinrefusal.MaxRefusals+9, 0))
		all := counter.State().Refusals
		Expect(all).To(HaveLen(savorypinrefusal.MaxRefusals))
		for _, refusal := range all {
			if refusal.Object == "9" {
				Expect(refusal.Reason).To(Equal("again"))
				Expect(refusal.Total).To(Equal(int64(2)))
			}
		}
	})
})
