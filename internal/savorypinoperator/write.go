package savorypinoperator

import (
	"context"
	"errors"
	"slices"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinplatform"
)

// maxEarlierOrders is the number of earlier order ids that an object keeps. A write
// whose answer was lost is recognized by its order id after up to this many later writes.
const maxEarlierOrders = 4

// writer makes an operator's writes to the platform. If the answer of a write is lost,
// it reads the object back to find out whether the write took effect.
type writer struct {
	create func(ctx context.Context, o savorypin.Object) (savorypin.Object, error)
	get    func(ctx context.Context, key savorypin.Key) (savorypin.Object, error)
	delete func(ctx context.Context, key savorypin.Key, version int64) error
	update func(ctx context.Context, o savorypin.Object) (savorypin.Object, error)
}

// write creates or replaces an object on the platform. If the object already has the
// order's id, it was written by an earlier try of the same order, whose answer was lost,
// and write returns it. If o.Version is set and is not the object's version, write fails
// with a conflict.
func (w writer) write(ctx context.Context, o savorypin.Object) (savorypin.Object, error) {
	current, err := w.get(ctx, o.Key)
	switch {
	case errors.Is(err, savorypinplatform.ErrNotFound):
		if o.Version > 0 {
			return savorypin.Object{}, savorypin.Errorf(savorypin.KindConflict, o.String(),
				"the order is for version %d, and the object does not exist", o.Version)
		}
		o.Version = 0
		return w.writeAndConfirm(ctx, o, w.create)
	case err != nil:
		return savorypin.Object{}, err
	case hasOrder(current, o.Order):
		return current, nil
	case o.Version == savorypin.VersionAbsent:
		return savorypin.Object{}, savorypin.Errorf(savorypin.KindConflict, o.String(),
			"the order is for a new object, and %s has written version %d", current.By, current.Version)
	case o.Version != 0 && o.Version != current.Version:
		return savorypin.Object{}, conflictError(o, current)
	}
	o.Earlier = append(slices.Clone(current.Earlier), current.Order)
	o.Earlier = o.Earlier[max(0, len(o.Earlier)-maxEarlierOrders):]
	o.Status = current.Status
	o.Version = current.Version
	return w.writeAndConfirm(ctx, o, w.update)
}

// writeAndConfirm makes a write. If the write fails or its answer is lost, it reads the
// object back and returns it if the write took effect.
func (w writer) writeAndConfirm(
	ctx context.Context,
	o savorypin.Object,
	write func(context.Context, savorypin.Object) (savorypin.Object, error),
) (savorypin.Object, error) {
	written, err := write(ctx, o)
	if err == nil {
		return written, nil
	}
	current, readErr := w.get(ctx, o.Key)
	switch {
	case readErr != nil:
		return savorypin.Object{}, err
	case hasOrder(current, o.Order):
		return current, nil
	case errors.Is(err, savorypinplatform.ErrConflict):
		return savorypin.Object{}, conflictError(o, current)
	default:
		return savorypin.Object{}, err
	}
}

// remove deletes an object at its current version. If the answer is lost and the object
// does not exist any more, the deletion succeeded. If it has another version, someone
// else has written it, and remove returns a conflict for the operator to resolve.
func (w writer) remove(ctx context.Context, key savorypin.Key) error {
	current, err := w.get(ctx, key)
	if err != nil {
		return err
	}
	err = w.delete(ctx, key, current.Version)
	if err == nil {
		return nil
	}
	latest, readErr := w.get(ctx, key)
	switch {
	case errors.Is(readErr, savorypinplatform.ErrNotFound):
		return nil
	case readErr == nil && latest.Version != current.Version:
		return conflictError(current, latest)
	default:
		return err
	}
}

// hasOrder reports whether an object includes the write of an order: it was written by
// the order itself or by a later one.
func hasOrder(o savorypin.Object, order string) bool {
	return o.Order == order || slices.Contains(o.Earlier, order)
}

func conflictError(o, current savorypin.Object) error {
	return savorypin.Errorf(savorypin.KindConflict, o.String(),
		"the order is for version %d, and %s has written version %d", o.Version, current.By, current.Version)
}
