package savorypingateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the first list of endpoints.
const (
	// maxGatewaysListingDirectly is the size of the largest fleet in which every gateway lists the
	// endpoints from the store at startup.
	maxGatewaysListingDirectly = 128
	// gatewaysPerLister is the number of gateways per one that lists the endpoints from the store
	// in a larger fleet. The others get the list from these gateways: if all of them read it from
	// the store at once, they would saturate the links to the store for seconds.
	gatewaysPerLister = 16
	// peerListTimeout is how long a gateway waits for the list from another one.
	peerListTimeout = 1500 * time.Millisecond
	// discoveryTimeout is how long a starting gateway waits for the first list of gateways,
	// which shows how many there are.
	discoveryTimeout = 300 * time.Millisecond
)

// listsFromStore reports whether a starting gateway lists the endpoints from the store at once,
// given the addresses of all other gateways that it knows. In a large fleet those with the lowest
// hashes of their addresses do, so that gateways that know the same addresses choose the same
// ones.
func listsFromStore(self string, others []string) bool {
	fleet := len(others) + 1
	if fleet <= maxGatewaysListingDirectly {
		return true
	}
	ownHash, lowerHashes := xxhash.Sum64String(self), 0
	for _, address := range others {
		if xxhash.Sum64String(address) < ownHash {
			lowerHashes++
		}
	}
	return lowerHashes < fleet/gatewaysPerLister
}

// awaitFirstList waits until the gateway has got the list of endpoints from another one or has to
// list them from the store itself. It returns an error only if ctx is done.
func (g *Gateway) awaitFirstList(ctx context.Context) error {
	select {
	case <-g.discoveryDone:
	case <-time.After(discoveryTimeout):
	case <-ctx.Done():
		return ctx.Err()
	}
	start := time.Now()
	for !g.view.listed.Load() && time.Since(start) < peerListTimeout {
		if listsFromStore(g.peerAddress(), g.peers.Known()) {
			return nil
		}
		if err := wait(ctx, startupPollInterval); err != nil {
			return err
		}
	}
	return nil
}
