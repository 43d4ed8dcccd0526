package savorypinpick

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"savorypin/internal/savorypinfleet"
)

// Settings of samples.
const (
	// gatewaysPerEndpoint is the number of gateways whose samples contain an endpoint at a
	// time. The limit keeps many gateways from overloading an idle endpoint before they
	// receive each other's load reports.
	gatewaysPerEndpoint = 4
	// minSampleSize is the minimum number of endpoints in a sample.
	minSampleSize = 4
)

// sampleSize returns the number of endpoints that are scored for a stream.
func sampleSize(endpoints, gateways int) int {
	return min(endpoints, max(minSampleSize, gatewaysPerEndpoint*endpoints/max(1, gateways)))
}

// sample returns the endpoints with the largest rendezvous weights for an affinity
// hash. It skips suspect endpoints, and returns all endpoints if all are suspect.
func (p *Picker) sample(endpoints []*savorypinfleet.Endpoint, affinity uint64, now time.Time) []*savorypinfleet.Endpoint {
	n := sampleSize(len(endpoints), p.cfg.Gateways())
	sample := leadingEndpoints(endpoints, affinity, n, func(e *savorypinfleet.Endpoint) bool { return !p.suspect(e, now) })
	if len(sample) == 0 {
		return slices.Clone(endpoints)
	}
	return sample
}

// rendezvousSample returns the endpoints with the largest rendezvous weights for an affinity hash, whether
// they are suspect or not.
func (p *Picker) rendezvousSample(endpoints []*savorypinfleet.Endpoint, affinity uint64) []*savorypinfleet.Endpoint {
	n := sampleSize(len(endpoints), p.cfg.Gateways())
	return leadingEndpoints(endpoints, affinity, n, func(*savorypinfleet.Endpoint) bool { return true })
}

// leadingEndpoints returns the n endpoints with the largest rendezvous weights among those that include
// selects, by descending weight.
func leadingEndpoints(
	endpoints []*savorypinfleet.Endpoint, affinity uint64, n int, include func(*savorypinfleet.Endpoint) bool,
) []*savorypinfleet.Endpoint {
	leading := make([]ranked, 0, n+1)
	for _, e := range endpoints {
		if include(e) {
			leading = insertRanked(leading, n, ranked{endpoint: e, weight: rendezvousWeight(affinity, e.Address())})
		}
	}
	sample := make([]*savorypinfleet.Endpoint, len(leading))
	for i, r := range leading {
		sample[i] = r.endpoint
	}
	return sample
}

// ranked is an endpoint with its rendezvous weight.
type ranked struct {
	endpoint *savorypinfleet.Endpoint
	weight   uint64
}

// insertRanked inserts r into the n endpoints with the largest weights, sorted by
// descending weight.
func insertRanked(leading []ranked, n int, r ranked) []ranked {
	if len(leading) == n && r.weight <= leading[n-1].weight {
		return leading
	}
	at, _ := slices.BinarySearchFunc(leading, r.weight, func(r ranked, weight uint64) int {
		// Sorted by descending weight.
		if r.weight > weight {
			return -1
		}
		return 1
	})
	leading = slices.Insert(leading, at, r)
	return leading[:min(len(leading), n)]
}

// Constants of the finalizer of MurmurHash3 (Appleby, 2011).
const (
	mixShift  = 33
	mixFirst  = 0xff51afd7ed558ccd
	mixSecond = 0xc4ceb9fe1a85ec53
)

// rendezvousWeight returns the weight of an endpoint address for an affinity hash.
func rendezvousWeight(affinity uint64, address string) uint64 {
	x := affinity ^ xxhash.Sum64String(address)
	x ^= x >> mixShift
	x *= mixFirst
	x ^= x >> mixShift
	x *= mixSecond
	return x ^ x>>mixShift
}
