//go:build race

package savorypinslopes_test

// measuredMembers is the size that is measured under the race detector, which
// makes the fleet about fifteen times slower. The code runs on one goroutine,
// so that size adds nothing to what the detector can find.
const measuredMembers = 40
