// Savorypin serves long generations on engines that fail.
package main

import (
	"os"

	"savorypin/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args, os.Stdout, os.Stderr))
}
