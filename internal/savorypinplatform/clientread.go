package savorypinplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"savorypin/internal/savorypin"
)

// Get returns the named object.
func (c *Client) Get(ctx context.Context, key savorypin.Key) (savorypin.Object, error) {
	o, err := c.call(ctx, http.MethodGet, c.cfg.Dialect.ObjectPath(key), key.Kind, nil)
	if err != nil {
		return savorypin.Object{}, fmt.Errorf("get %s: %w", key, err)
	}
	return o, nil
}

// GetStale returns the named object from a copy that may be out of date. It must not be
// used for state that may never go back to an older version.
func (c *Client) GetStale(ctx context.Context, key savorypin.Key) (savorypin.Object, error) {
	o, err := c.call(ctx, http.MethodGet, c.stalePath(c.cfg.Dialect.ObjectPath(key)), key.Kind, nil)
	if err != nil {
		return savorypin.Object{}, fmt.Errorf("get %s: %w", key, err)
	}
	return o, nil
}

// ListStale returns all objects of a kind from a copy that may be out of date. It must
// not be used for state that may never go back to an older version.
func (c *Client) ListStale(ctx context.Context, kind savorypin.Kind) ([]savorypin.Object, error) {
	listing, err := c.list(ctx, kind, c.stalePath)
	return listing.Objects, err
}

// stalePath returns the path of a read that may be served from an old copy.
func (c *Client) stalePath(path string) string {
	if strings.Contains(path, "?") {
		return path + "&" + c.cfg.Dialect.StaleQuery
	}
	return path + "?" + c.cfg.Dialect.StaleQuery
}

// Listing is a complete list of the objects of a kind.
type Listing struct {
	// Era is the era of the store in which the list was made.
	Era     int64
	Objects []savorypin.Object
	// Version is the version of the first page, so that a watch from it misses no
	// change.
	Version int64
}

// List returns all objects of a kind and the version of the list.
func (c *Client) List(ctx context.Context, kind savorypin.Kind) ([]savorypin.Object, int64, error) {
	listing, err := c.ListAll(ctx, kind)
	return listing.Objects, listing.Version, err
}

// ListAll returns all objects of a kind. It returns an error that wraps ErrUnavailable
// if the pages are of different eras, since they do not form a consistent list.
func (c *Client) ListAll(ctx context.Context, kind savorypin.Kind) (Listing, error) {
	return c.list(ctx, kind, func(path string) string { return path })
}

// list reads all pages of a kind, each at the path that rewritePath returns for it.
func (c *Client) list(ctx context.Context, kind savorypin.Kind, rewritePath func(path string) string) (Listing, error) {
	var listing Listing
	after := ""
	for first := true; ; first = false {
		data, era, err := c.do(ctx, http.MethodGet, rewritePath(c.cfg.Dialect.ListPath(kind, after)), nil)
		if err != nil {
			return Listing{}, fmt.Errorf("list %s: %w", kind, err)
		}
		page, err := c.cfg.Dialect.DecodeList(kind, data)
		if err != nil {
			return Listing{}, fmt.Errorf("list %s: %w", kind, err)
		}
		if first {
			listing.Era, listing.Version = era, page.Version
		}
		if era != listing.Era {
			return Listing{}, fmt.Errorf("list %s: %w: pages of eras %d and %d", kind, ErrUnavailable, listing.Era, era)
		}
		for i := range page.Objects {
			page.Objects[i].Era = era
		}
		listing.Objects = append(listing.Objects, page.Objects...)
		if page.Next == "" || page.Next == after {
			return listing, nil
		}
		after = page.Next
	}
}

// Hosts returns the platform's list of hosts, which may be out of date.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	data, _, err := c.do(ctx, http.MethodGet, HostsPath, nil)
	if err != nil {
		return nil, fmt.Errorf("list hosts: %w", err)
	}
	if err := json.Unmarshal(data, &hosts); err != nil {
		return nil, fmt.Errorf("list hosts: %w: decode response: %w", ErrUnavailable, err)
	}
	return hosts, nil
}

// Watch calls handle for each change of a kind after version until ctx ends,
// the connection breaks or handle returns an error. A deleted object has
// Deleted set and the version of the deletion. A bookmark has no name. Watch
// returns nil when the platform ends the watch at its timeout. A watch that the
// platform does not end has stalled, which is an ErrUnavailable.
func (c *Client) Watch(
	ctx context.Context,
	kind savorypin.Kind,
	version int64,
	handle func(savorypin.Object) error,
) error {
	return c.WatchFor(ctx, kind, version, c.cfg.WatchTimeout, handle)
}

// WatchFor is Watch with a timeout d for which the platform keeps the watch open.
func (c *Client) WatchFor(
	ctx context.Context,
	kind savorypin.Kind,
	version int64,
	d time.Duration,
	handle func(savorypin.Object) error,
) error {
	c.cfg.OnCall("watch")
	ctx, cancel := context.WithTimeout(ctx, d+watchGrace)
	defer cancel()
	resp, era, err := c.send(ctx, http.MethodGet, c.cfg.Dialect.WatchPath(kind, version, d), nil)
	if err != nil {
		return fmt.Errorf("watch %s: %w", kind, err)
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, c.cfg.MaxResponseBytes)
	err = c.cfg.Dialect.ReadWatch(kind, body, func(o savorypin.Object) error {
		o.Era = era
		return handle(o)
	})
	if err != nil {
		return fmt.Errorf("watch %s: %w", kind, err)
	}
	return nil
}

// write sends an object and returns it as the platform has stored it.
