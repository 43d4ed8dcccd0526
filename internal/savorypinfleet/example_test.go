package savorypinfleet_test

import (
	"fmt"

	"savorypin/internal/savorypinfleet"
)

func ExampleNewPromptPart() {
	fmt.Println(savorypinfleet.NewPromptPart("5C1E07A2"))
	fmt.Println(savorypinfleet.NewPromptPart("005c1e07a2") == savorypinfleet.NewPromptPart("5c1e07a2"))
	// Output:
	// 519076b2e5fd3b0f
	// true
}

func ExampleNewRequest() {
	call := &savorypinfleet.Call{Body: []byte("crib 7"), Host: "shop", ID: "r1", Method: "POST", URI: "/sales/?till=2"}
	again := *call
	again.ID, again.Host = "r2", "SHOP"
	other := *call
	other.Body = []byte("crib 8")
	request := savorypinfleet.NewRequest("ledger", "shops", call)
	fmt.Println(request, request.IsRequest())
	fmt.Println(savorypinfleet.NewRequest("ledger", "shops", &again) == request)
	fmt.Println(savorypinfleet.NewRequest("ledger", "shops", &other) == request)
	fmt.Println(savorypinfleet.NewRequest("ledger", "wholesalers", call) == request)
	// Output:
	// ca116623f72b0769 true
	// true
	// false
	// false
}
