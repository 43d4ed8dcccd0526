package savorypinpanic_test

import (
	"errors"
	"fmt"

	"savorypin/internal/savorypinpanic"
)

func ExampleRecover() {
	err := savorypinpanic.Recover(func() error {
		var none []int
		_ = none[3]
		return nil
	})
	var panicked *savorypinpanic.PanicError
	fmt.Println(errors.As(err, &panicked), len(panicked.Stack) > 0)
	fmt.Println(err)
	// Output:
	// true true
	// panic: runtime error: index out of range [3] with length 0
}
