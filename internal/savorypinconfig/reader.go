package savorypinconfig

import (
	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinrank"
)

// ReadersPerDomain is the number of daemons in each failure domain that watch
// the platform. It is more than one, so that changes still arrive while one of them
// is paused.
const ReadersPerDomain = 2

// IsReader reports whether a daemon is one of the readers of its failure domain, which
// watch the platform, given the live members.
func IsReader(self savorypin.MemberState, live []savorypin.MemberState) bool {
	names := []string{self.Name}
	for _, m := range live {
		if m.Domain == self.Domain && m.Name != self.Name {
			names = append(names, m.Name)
		}
	}
	ranked := savorypinrank.Names("reader/"+self.Domain, names)
	for _, name := range ranked[:min(ReadersPerDomain, len(ranked))] {
		if name == self.Name {
			return true
		}
	}
	return false
}
