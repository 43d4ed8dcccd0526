// Package savorypinfleet holds what a gateway knows of the system that it
// serves: the operator's configuration, the endpoints and the roll-outs. Its
// values do not change once they are built, so that requests read them without
// locks.
package savorypinfleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RouteKind says what may be repeated of a route's requests.
type RouteKind string

// The kinds of routes, in sorted order.
const (
	// RouteSafe means that a request may run more than once.
	RouteSafe RouteKind = "safe"
	// RouteStreaming means that the answer is a series of numbered events.
	RouteStreaming RouteKind = "streaming"
	// RouteUnsafe means that a request may run once at most.
	RouteUnsafe RouteKind = "unsafe"
)

// Share is the part of a route's requests that goes to a service.
type Share struct {
	// Service is the name of the service.
	Service string
	// Weight is the share of the service against the sum of all weights.
	Weight float64
}

// RouteConfig describes a Route.
type RouteConfig struct {
	Host   string
	Kind   RouteKind
	Name   string
	Prefix string
	// Priority is the rank of the route; 0 comes first.
	Priority int
	// Public says that callers need no key.
	Public bool
	// Resumable says that a stream may go on at another endpoint.
	Resumable bool
	Shares    []Share
	// MaxAttempts is the number of endpoints that one request may be sent to.
	MaxAttempts int
	// TargetGap is the longest pause between events of an answer on time.
	TargetGap time.Duration
	// TargetLatency is the time within which an answer is on time.
	TargetLatency time.Duration
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
}

// Route says where requests of a host and path prefix go.
type Route struct {
	cfg RouteConfig
}

// NewRoute returns a route.
func NewRoute(cfg RouteConfig) *Route {
	return &Route{cfg: cfg}
}

// Host is the host that the route belongs to.
func (r *Route) Host() string { return r.cfg.Host }

// Kind says what may be repeated.
func (r *Route) Kind() RouteKind { return r.cfg.Kind }

// Name names the route.
func (r *Route) Name() string { return r.cfg.Name }

// Priority is the rank of the route; 0 comes first.
func (r *Route) Priority() int { return r.cfg.Priority }

// Public reports whether callers need no key.
func (r *Route) Public() bool { return r.cfg.Public }

// Shares says which services serve the route.
func (r *Route) Shares() []Share { return r.cfg.Shares }

// MaxAttempts is the number of endpoints that one request may be sent to.
func (r *Route) MaxAttempts() int { return max(1, r.cfg.MaxAttempts) }

// TargetGap is the longest pause between events of an answer on time.
func (r *Route) TargetGap() time.Duration { return r.cfg.TargetGap }

// TargetLatency is the time within which an answer is on time.
func (r *Route) TargetLatency() time.Duration { return r.cfg.TargetLatency }

// Timeout is the longest time that a caller is kept waiting.
func (r *Route) Timeout() time.Duration { return r.cfg.Timeout }

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.cfg.Kind == RouteSafe || r.cfg.Kind == RouteStreaming && r.cfg.Resumable
}

// ServiceConfig describes a Service.
type ServiceConfig struct {
	// Backups says that engines can send the memory of a run to another engine.
	Backups bool
	Name    string
}

// Service is a set of endpoints that serve the same requests.
type Service struct {
	cfg ServiceConfig
}

// NewService returns a service.
func NewService(cfg ServiceConfig) *Service {
	return &Service{cfg: cfg}
}

// Backups reports whether engines can copy the memory of a run.
func (s *Service) Backups() bool { return s.cfg.Backups }

// Name names the service.
func (s *Service) Name() string { return s.cfg.Name }

// Organisation is a customer of the system.
type Organisation struct {
	Keys []string
	Name string
	// Priority is the rank of the organisation; nil means that the route's
	// counts.
	Priority *int
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	BodyBytes     int64
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// ConfigurationConfig describes a Configuration.
type ConfigurationConfig struct {
	Limits        Limits
	Organisations []Organisation
	Routes        []*Route
	Services      []*Service
	Version       int64
}

// Configuration is one version of what the operator wants.
type Configuration struct {
	byKey    map[string]*Organisation
	hosts    map[string][]*Route
	keyed    bool
	limits   Limits
	services map[string]*Service
	version  int64
}

// NewConfiguration indexes a configuration for requests.
func NewConfiguration(cfg ConfigurationConfig) *Configuration {
	c := &Configuration{
		byKey:    map[string]*Organisation{},
		hosts:    map[string][]*Route{},
		keyed:    len(cfg.Organisations) > 0,
		limits:   cfg.Limits,
		services: map[string]*Service{},
		version:  cfg.Version,
	}
	for _, o := range cfg.Organisations {
		for _, key := range o.Keys {
			c.byKey[key] = &o
		}
	}
	for _, r := range cfg.Routes {
		c.hosts[r.Host()] = append(c.hosts[r.Host()], r)
	}
	for _, routes := range c.hosts {
		slices.SortFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.cfg.Prefix), len(a.cfg.Prefix))
		})
	}
	for _, s := range cfg.Services {
		c.services[s.Name()] = s
	}
	return c
}

// Keyed reports whether callers need a key.
func (c *Configuration) Keyed() bool { return c.keyed }

// Limits bound what callers may send.
func (c *Configuration) Limits() Limits { return c.limits }

// Organisation returns the organisation that holds a key, or nil.
func (c *Configuration) Organisation(key string) *Organisation { return c.byKey[key] }

// Route returns the route with the longest prefix of the path, or nil.
func (c *Configuration) Route(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.cfg.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the named service, or nil.
func (c *Configuration) Service(name string) *Service { return c.services[name] }

// Version is the operator's number of the configuration.
func (c *Configuration) Version() int64 { return c.version }
