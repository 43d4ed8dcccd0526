//go:build !race

package savorypinscaling_test

// measuredMembers is the number of members in the measurement of Control.
const measuredMembers = targetMembers
