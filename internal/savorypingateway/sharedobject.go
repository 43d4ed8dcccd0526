package savorypingateway

import (
	"context"
	"encoding/json"
	"errors"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinplatform"
)

// isFirstReader reports whether this gateway is the first of those that read the store for all,
// which also writes what the gateways share.
func (g *Gateway) isFirstReader() bool {
	return g.peers.Readers()[0] == g.peerAddress()
}

// readShared returns the spec of an object that the gateways share, and whether there is one that
// can be decoded. It also reports whether the store responded.
func readShared[T any](ctx context.Context, g *Gateway, key savorypin.Key) (spec T, found, responded bool) {
	o, err := g.store.client.GetStale(ctx, key)
	if errors.Is(err, savorypinplatform.ErrNotFound) {
		return spec, false, true
	}
	if err != nil {
		g.log.Debug("reading a shared object from the store failed", "key", key, "err", err)
		return spec, false, false
	}
	if err := json.Unmarshal(o.Spec, &spec); err != nil {
		g.log.Emit(savorypinevent.Ignored{Err: err, What: "object " + key.String()})
		return spec, false, true
	}
	return spec, true, true
}

// writeShared replaces the spec of an object that the gateways share. It reports success.
func (g *Gateway) writeShared(ctx context.Context, key savorypin.Key, spec any) bool {
	data, err := json.Marshal(spec)
	if err != nil {
		g.log.Emit(savorypinevent.Process{Err: err, What: key.String() + " not written"})
		return false
	}
	if err := g.store.put(ctx, savorypin.Object{Key: key, Spec: data}); err != nil {
		g.log.Debug("writing a shared object to the store failed", "key", key, "err", err)
		return false
	}
	return true
}
