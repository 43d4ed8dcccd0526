package savorypinfleet_test

import (
	"fmt"

	"savorypin/internal/savorypinfleet"
)

func ExampleNewPromptPart() {
	fmt.Println(savorypinfleet.NewPromptPart("5C1E07A2"))
	fmt.Println(savorypinfleet.NewPromptPart("005c1e07a2") == savorypinfleet.NewPromptPart("5c1e07a2"))
	// Output:
	// d19076b2e5fd3b0f
	// true
}
