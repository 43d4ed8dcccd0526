package savorypinoperator

import (
	"context"
	"errors"
	"slices"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinplatform"
)

// earlierOrders is the number of earlier order ids that an object keeps.
const earlierOrders = 4

// writer makes an operator's writes to the platform and settles those whose
// answer is lost.
type writer struct {
	create  func(ctx context.Context, o savorypin.Object) (savorypin.Object, error)
	get     func(ctx context.Context, key savorypin.Key) (savorypin.Object, error)
	remover func(ctx context.Context, key savorypin.Key, version int64) error
	update  func(ctx context.Context, o savorypin.Object) (savorypin.Object, error)
}

// write creates or replaces an object on the platform. A conflict with an
// object that carries the same order id is the operator's own earlier write,
// whose answer was lost.
func (w writer) write(ctx context.Context, o savorypin.Object) (savorypin.Object, error) {
	held, err := w.get(ctx, o.Key)
	switch {
	case errors.Is(err, savorypinplatform.ErrNotFound):
		if o.Version > 0 {
			return savorypin.Object{}, savorypin.Errorf(savorypin.KindConflict, o.String(),
				"the order is for version %d, and the object does not exist", o.Version)
		}
		o.Version = 0
		return w.settle(ctx, o, w.create)
	case err != nil:
		return savorypin.Object{}, err
	case carries(held, o.Order):
		return held, nil
	case o.Version == savorypin.VersionAbsent:
		return savorypin.Object{}, savorypin.Errorf(savorypin.KindConflict, o.String(),
			"the order is for a new object, and %s has written version %d", held.By, held.Version)
	case o.Version != 0 && o.Version != held.Version:
		return savorypin.Object{}, conflict(o, held)
	}
	o.Earlier = append(slices.Clone(held.Earlier), held.Order)
	o.Earlier = o.Earlier[max(0, len(o.Earlier)-earlierOrders):]
	o.Status = held.Status
	o.Version = held.Version
	return w.settle(ctx, o, w.update)
}

// settle makes a write and, if it fails or its answer is lost, reads back
// whether it has taken effect.
func (w writer) settle(
	ctx context.Context,
	o savorypin.Object,
	write func(context.Context, savorypin.Object) (savorypin.Object, error),
) (savorypin.Object, error) {
	written, err := write(ctx, o)
	if err == nil {
		return written, nil
	}
	held, readErr := w.get(ctx, o.Key)
	switch {
	case readErr != nil:
		return savorypin.Object{}, err
	case carries(held, o.Order):
		return held, nil
	case errors.Is(err, savorypinplatform.ErrConflict):
		return savorypin.Object{}, conflict(o, held)
	default:
		return savorypin.Object{}, err
	}
}

// remove deletes an object at the version that it has now. If the answer is
// lost, an object that is gone has been deleted; one at another version was
// written by somebody else, and the operator has to look.
func (w writer) remove(ctx context.Context, key savorypin.Key) error {
	held, err := w.get(ctx, key)
	if err != nil {
		return err
	}
	err = w.remover(ctx, key, held.Version)
	if err == nil {
		return nil
	}
	now, readErr := w.get(ctx, key)
	switch {
	case errors.Is(readErr, savorypinplatform.ErrNotFound):
		return nil
	case readErr == nil && now.Version != held.Version:
		return conflict(held, now)
	default:
		return err
	}
}

// carries reports whether an object was written by an order, or by one that
// followed it.
func carries(o savorypin.Object, order string) bool {
	return o.Order == order || slices.Contains(o.Earlier, order)
}

func conflict(o, held savorypin.Object) error {
	return savorypin.Errorf(savorypin.KindConflict, o.String(),
		"the order is for version %d, and %s has written version %d", o.Version, held.By, held.Version)
}
