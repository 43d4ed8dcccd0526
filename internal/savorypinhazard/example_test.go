package savorypinhazard_test

import (
	"fmt"
	"time"

	"savorypin/internal/savorypinhazard"
)

func ExampleEstimator_Risk() {
	e := savorypinhazard.New([]string{"a", "b", "c"})
	start := time.Unix(0, 0)
	for i, domain := range []string{"a", "b", "c", "a"} {
		e.Record(domain, start.Add(time.Duration(i)*6*time.Second))
	}
	now := start.Add(19 * time.Second)
	likeliest, maxRisk := "", 0.0
	for _, domain := range []string{"a", "b", "c"} {
		if risk := e.Risk(domain, now, 6*time.Second); risk > maxRisk {
			likeliest, maxRisk = domain, risk
		}
	}
	fmt.Println("likely to fail next:", likeliest)
	// Output:
	// likely to fail next: b
}
