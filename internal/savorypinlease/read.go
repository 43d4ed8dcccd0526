package savorypinlease

import (
	"context"
	"errors"
	"fmt"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinplatform"
)

// ControllerLeaseName returns the name of the lease for the controller of a service.
func ControllerLeaseName(service string) string {
	return "controller-" + service
}

// ReadFence returns the current fencing number of a lease on the platform, or 0 if the lease was
// never held. It returns an error if the record can't be read or decoded.
func ReadFence(
	ctx context.Context,
	get func(context.Context, savorypin.Key) (savorypin.Object, error),
	name string,
) (int64, error) {
	o, err := get(ctx, savorypin.Key{Kind: savorypin.KindLease, Name: name})
	if errors.Is(err, savorypinplatform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read lease %s: %w", name, err)
	}
	spec, err := savorypin.DecodeStrict[Spec](o.Spec)
	if err != nil {
		return 0, fmt.Errorf("decode lease %s: %w", name, err)
	}
	return spec.Fence, nil
}
