//go:build race

package savorypinscaling_test

// measuredMembers is the number of members in the measurement of Control under the
// race detector, which makes the fleet about fifteen times slower. A larger fleet
// would not let the detector find more, because the code runs on one goroutine.
const measuredMembers = 40
