package savorypinfleet_test

import (
	"fmt"
	"testing"

	"savorypin/internal/savorypinfleet"
)

func BenchmarkNewRequest(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 4 << 20} {
		b.Run(fmt.Sprint(size, " bytes"), func(b *testing.B) {
			call := &savorypinfleet.Call{Body: make([]byte, size), Host: "shop", Method: "POST", URI: "/sales/?till=2"}
			for b.Loop() {
				savorypinfleet.NewRequest("ledger", "shops", call)
			}
		})
	}
}
