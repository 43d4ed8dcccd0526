// Savorypin serves long generations despite engine failures.
package main

import (
	"os"

	"savorypin/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args, os.Stdout, os.Stderr))
}
