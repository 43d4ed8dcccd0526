//go:build !race

package savorypinslopes_test

// measuredMembers is the size that is measured: that of the target.
const measuredMembers = targetMembers
