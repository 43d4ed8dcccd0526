package savorypingateway

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The bodies on their way to an endpoint", func() {
	const limit = 100
	for _, c := range []struct {
		name    string
		sent    []int64
		next    int64
		allowed bool
	}{
		{"are within the limit", []int64{40, 30}, 30, true},
		{"are not beyond the limit", []int64{40, 30}, 31, false},
		{"may be one of the limit's size", nil, limit, true},
		{"may be one beyond the limit if it is alone", nil, limit + 1, true},
		{"may be none but one beyond the limit", []int64{limit + 1}, 1, false},
	} {
		// Guards against an endpoint that crashes under the bodies of many requests, and against a body that
		// no endpoint ever takes.
		It(c.name, func() {
			u := &uploads{}
			for _, n := range c.sent {
				Expect(u.take(1, n, limit)).NotTo(BeNil())
			}
			Expect(u.take(1, c.next, limit) != nil).To(Equal(c.allowed))
			Expect(u.take(2, 1, limit)).NotTo(BeNil())
			By("taking it once the others have ended")
			count := u.take(3, limit, limit)
			count.Add(-limit)
			Expect(u.take(3, limit, limit)).NotTo(BeNil())
		})
	}
})

// BenchmarkUploads measures what counting a body costs a request.
func BenchmarkUploads(b *testing.B) {
	u := &uploads{}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for endpoint := uint64(1 << 40); pb.Next(); endpoint++ {
			u.take(endpoint%100+1<<40, 1000, 1<<40).Add(-1000)
		}
	})
}
