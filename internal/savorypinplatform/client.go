// Package savorypinplatform is a client of the platform: of its object API, which
// stores the configuration and all other durable state, and of its list of hosts.
//
// By default, paths and bodies follow the conventions of the Kubernetes API: objects
// have metadata with a resource version, writes are conditional on it, and a
// watch is a response that sends one JSON event per line.
package savorypinplatform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"savorypin/internal/savorypin"
)

// BasePath is the path under which the object API serves the system's kinds.
const BasePath = "/apis/savorypin/v1/"

// HostsPath is the path of the list of hosts.
const HostsPath = "/api/v1/nodes"

// Annotations that the system sets on its objects.
const (
	// AnnotationAt is the time of the order, RFC 3339.
	AnnotationAt = "savorypin/at"
	// AnnotationBy is the operator who gave the order.
	AnnotationBy = "savorypin/by"
	// AnnotationEarlier are the order ids of the preceding writes, separated by commas.
	AnnotationEarlier = "savorypin/earlier"
	// AnnotationOrder is the order id.
	AnnotationOrder = "savorypin/order"
)

// defaultMaxResponseBytes is the default of Config.MaxResponseBytes.
const defaultMaxResponseBytes = 64 << 20

// DefaultWatchTimeout is how long the platform keeps a watch open by default. A watch
// that has stopped delivering events is noticed at the latest watchGrace after this
// time, and each new watch costs a call.
const DefaultWatchTimeout = 10 * time.Second

// watchGrace is how long the client waits past the timeout of a watch for the platform
// to end it.
const watchGrace = 2 * time.Second

// Errors of the object API. Packages that use the client translate them.
var (
	// ErrConflict means that the object already exists or has another version.
	ErrConflict = errors.New("platform object has changed")
	// ErrStaleEra means that a response, or the version that a write is conditional on,
	// is of an earlier era of the store than the newest known one.
	ErrStaleEra = errors.New("platform answer or version is of an earlier era")
	// ErrExpired means that a watch starts at a version whose later changes the platform
	// has already dropped.
	ErrExpired = errors.New("platform watch version has expired")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("platform object does not exist")
	// ErrRejected means that the platform refuses the request in its present form.
	ErrRejected = errors.New("platform rejected the request")
	// ErrUnavailable means that the request may or may not have been carried out.
	ErrUnavailable = errors.New("platform is unavailable")
)

// Config configures a Client.
type Config struct {
	// OnCall is called before each call with its HTTP method, or "watch" for a watch.
	OnCall func(method string)
	// OnNewEra is called at the first response of each era except the first era that the
	// client sees.
	OnNewEra func(era int64)
	// HTTPClient makes the calls; nil means a client with default settings.
	HTTPClient *http.Client
	// MaxResponseBytes is the maximum size of the body of a response; zero means 64 MiB.
	// The rest of a longer body is not read. The limit also applies to all events of a
	// watch together.
	MaxResponseBytes int64
	// Timeout is the timeout of each call except a watch; zero means none.
	Timeout time.Duration
	// Token is the bearer token of the system; empty if the platform needs none.
	Token string
	// URL is the base URL of the platform.
	URL string
	// WatchTimeout is how long the platform keeps a watch open; zero means
	// DefaultWatchTimeout.
	WatchTimeout time.Duration
	// Dialect describes the platform's paths and formats; the zero value means
	// Kubernetes conventions.
	Dialect Dialect
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	cfg Config
	era eraTracker
}

// NewClient returns a client of the platform.
func NewClient(cfg Config) *Client {
	if cfg.OnCall == nil {
		cfg.OnCall = func(string) {}
	}
	if cfg.OnNewEra == nil {
		cfg.OnNewEra = func(int64) {}
	}
	if cfg.MaxResponseBytes == 0 {
		cfg.MaxResponseBytes = defaultMaxResponseBytes
	}
	if cfg.WatchTimeout == 0 {
		cfg.WatchTimeout = DefaultWatchTimeout
	}
	if cfg.HTTPClient == nil {
		cfg.HTTPClient = &http.Client{}
	}
	if cfg.Dialect.ObjectPath == nil {
		cfg.Dialect = kubernetesDialect()
	}
	return &Client{cfg: cfg}
}

// Create creates o and returns it with its version. It returns ErrConflict if
// the object exists.
func (c *Client) Create(ctx context.Context, o savorypin.Object) (savorypin.Object, error) {
	created, err := c.write(ctx, http.MethodPost, c.cfg.Dialect.ListPath(o.Kind, ""), o)
	if err != nil {
		return savorypin.Object{}, fmt.Errorf("create %s: %w", o.Key, err)
	}
	return created, nil
}

// Update replaces the object if it still has the version of o. It returns
// ErrConflict if it has another one.
func (c *Client) Update(ctx context.Context, o savorypin.Object) (savorypin.Object, error) {
	updated, err := c.write(ctx, http.MethodPut, c.cfg.Dialect.ObjectPath(o.Key), o)
	if err != nil {
		return savorypin.Object{}, fmt.Errorf("update %s at version %d: %w", o.Key, o.Version, err)
	}
	return updated, nil
}

// UpdateStatus replaces the status of the object if it still has the version
// of o. The rest of the object stays unchanged.
func (c *Client) UpdateStatus(ctx context.Context, o savorypin.Object) (savorypin.Object, error) {
	updated, err := c.write(ctx, http.MethodPut, c.cfg.Dialect.StatusPath(o.Key), o)
	if err != nil {
		return savorypin.Object{}, fmt.Errorf("update status of %s at version %d: %w", o.Key, o.Version, err)
	}
	return updated, nil
}

// Delete deletes the object if it still has the given version; 0 deletes it at any
// version.
func (c *Client) Delete(ctx context.Context, key savorypin.Key, version int64) error {
	path := c.cfg.Dialect.ObjectPath(key)
	if version != 0 {
		path += "?" + c.cfg.Dialect.VersionParameter + "=" + strconv.FormatInt(version, 10)
	}
	if _, _, err := c.do(ctx, http.MethodDelete, path, nil); err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	return nil
}

func (c *Client) write(ctx context.Context, method, path string, o savorypin.Object) (savorypin.Object, error) {
	if o.Version > 0 && o.Era < c.era.newest() {
		// The restored store may have assigned the same number to another version.
		return savorypin.Object{}, fmt.Errorf("%w: %w", ErrConflict, ErrStaleEra)
	}
	data, err := c.cfg.Dialect.Encode(o)
	if err != nil {
		return savorypin.Object{}, fmt.Errorf("%w: encode request: %w", ErrRejected, err)
	}
	return c.call(ctx, method, path, o.Kind, data)
}

// call makes a call whose response is one object of a kind.
func (c *Client) call(
	ctx context.Context,
	method, path string,
	kind savorypin.Kind,
	body []byte,
) (savorypin.Object, error) {
	data, era, err := c.do(ctx, method, path, body)
	if err != nil {
		return savorypin.Object{}, err
	}
	o, err := c.cfg.Dialect.Decode(kind, data)
	o.Era = era
	return o, err
}

// do makes a call and returns the body of the response and the store's era.
func (c *Client) do(ctx context.Context, method, path string, payload []byte) ([]byte, int64, error) {
	c.cfg.OnCall(method)
	if c.cfg.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.cfg.Timeout)
		defer cancel()
	}
	var body io.Reader
	if payload != nil {
		body = bytes.NewReader(payload)
	}
	resp, era, err := c.send(ctx, method, path, body)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxResponseBytes))
	if err != nil {
		return nil, 0, fmt.Errorf("%w: read response: %w", ErrUnavailable, err)
	}
	return data, era, nil
}

// send makes a call and returns the response, with its body open, and the store's era.
// A status that is not a success is returned as an error.
func (c *Client) send(ctx context.Context, method, path string, body io.Reader) (*http.Response, int64, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.URL+path, body)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrRejected, err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	resp, err := c.cfg.HTTPClient.Do(req)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	era, err := c.responseEra(resp.Header)
	if err == nil {
		err = statusError(resp.StatusCode)
	}
	if err != nil {
		resp.Body.Close()
		return nil, 0, err
	}
	return resp, era, nil
}

// IsConflict reports whether a write failed because the object exists or has
// changed.
func IsConflict(err error) bool {
	return errors.Is(err, ErrConflict)
}

func statusError(status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusGone:
		return ErrExpired
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusTooManyRequests, status >= http.StatusInternalServerError:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	default:
		return fmt.Errorf("%w: status %d", ErrRejected, status)
	}
}
