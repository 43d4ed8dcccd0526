// Package savorypinfleet holds a gateway's view of the system: the operator's
// configuration, the endpoints and the rollouts. Configurations and directories are
// immutable once built, so that requests can read them without locks. The package also
// defines the calls, attempts and replies that a platform's codec encodes and decodes.
package savorypinfleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RouteKind says whether the requests of a route may be retried.
type RouteKind string

// The kinds of routes, in sorted order.
const (
	// RouteSafe means that a request may run more than once.
	RouteSafe RouteKind = "safe"
	// RouteStreaming means that the response is a stream of numbered events.
	RouteStreaming RouteKind = "streaming"
	// RouteUnsafe means that a request may run at most once.
	RouteUnsafe RouteKind = "unsafe"
)

// Share is the share of a route's requests that goes to a service.
type Share struct {
	// Service is the name of the service.
	Service string
	// Weight is the weight of the service relative to the sum of all weights.
	Weight float64
}

// RouteConfig describes a Route.
type RouteConfig struct {
	Host   string
	Kind   RouteKind
	Name   string
	Prefix string
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// Public says that callers need no API key.
	Public bool
	// Resumable says that a broken stream may be resumed at another endpoint.
	Resumable bool
	Shares    []Share
	// MaxAttempts is the maximum number of endpoints to which one request is sent. A value
	// below 1 counts as 1.
	MaxAttempts int
	// TargetGap is the target for the longest pause between two events of a stream.
	TargetGap time.Duration
	// TargetLatency is the target for the latency of a response.
	TargetLatency time.Duration
	// Timeout is the maximum time that a caller waits for a response.
	Timeout time.Duration
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	cfg RouteConfig
}

// NewRoute returns a Route with a configuration.
func NewRoute(cfg RouteConfig) *Route {
	return &Route{cfg: cfg}
}

// Host returns the host whose requests the route serves.
func (r *Route) Host() string { return r.cfg.Host }

// Kind returns the kind of the route.
func (r *Route) Kind() RouteKind { return r.cfg.Kind }

// Name returns the name of the route.
func (r *Route) Name() string { return r.cfg.Name }

// Priority returns the priority of the route; 0 is the highest.
func (r *Route) Priority() int { return r.cfg.Priority }

// Public reports whether callers need no API key.
func (r *Route) Public() bool { return r.cfg.Public }

// Shares returns the services of the route with their weights.
func (r *Route) Shares() []Share { return r.cfg.Shares }

// MaxAttempts returns the maximum number of endpoints to which one request is sent, at least 1.
func (r *Route) MaxAttempts() int { return max(1, r.cfg.MaxAttempts) }

// TargetGap returns the target for the longest pause between two events of a stream.
func (r *Route) TargetGap() time.Duration { return r.cfg.TargetGap }

// TargetLatency returns the target for the latency of a response.
func (r *Route) TargetLatency() time.Duration { return r.cfg.TargetLatency }

// Timeout returns the maximum time that a caller waits for a response.
func (r *Route) Timeout() time.Duration { return r.cfg.Timeout }

// Retryable reports whether requests may run more than once. This holds for safe routes and
// for resumable streaming routes.
func (r *Route) Retryable() bool {
	return r.cfg.Kind == RouteSafe || r.cfg.Kind == RouteStreaming && r.cfg.Resumable
}

// ServiceConfig describes a Service.
type ServiceConfig struct {
	// Backups says that engines can copy the KV cache of a running generation to another
	// engine.
	Backups bool
	// MemoryTokens is the number of tokens that the KV memory of an engine holds; zero if unknown.
	MemoryTokens int
	Name         string
}

// Service is a set of endpoints that serve the same requests.
type Service struct {
	cfg ServiceConfig
}

// NewService returns a Service with a configuration.
func NewService(cfg ServiceConfig) *Service {
	return &Service{cfg: cfg}
}

// Backups reports whether engines can copy the KV cache of a running generation to another
// engine.
func (s *Service) Backups() bool { return s.cfg.Backups }

// MemoryTokens returns the number of tokens that the KV memory of an engine holds; zero if unknown.
func (s *Service) MemoryTokens() int { return max(0, s.cfg.MemoryTokens) }

// Name returns the name of the service.
func (s *Service) Name() string { return s.cfg.Name }

// Organisation is a customer of the system.
type Organisation struct {
	Keys []string
	Name string
	// Priority is the priority of the organisation's requests; 0 is the highest. If it is
	// nil, the priority of the route applies.
	Priority *int
}

// Limits bound the size of callers' requests and the timeouts of callers' connections.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// ConfigurationSpec describes a Configuration.
type ConfigurationSpec struct {
	Limits        Limits
	Organisations []Organisation
	Routes        []*Route
	Services      []*Service
	Version       int64
}

// Configuration is one version of the operator's configuration, indexed for lookups.
type Configuration struct {
	byKey       map[string]*Organisation
	byHost      map[string][]*Route
	requiresKey bool
	limits      Limits
	// priorities are the distinct priorities of the streams to each service, in ascending order.
	priorities map[string][]int
	routeNames map[string]bool
	services   map[string]*Service
	version    int64
}

// NewConfiguration returns a Configuration that is indexed for lookups by requests.
func NewConfiguration(cfg ConfigurationSpec) *Configuration {
	c := &Configuration{
		byKey:       map[string]*Organisation{},
		byHost:      map[string][]*Route{},
		requiresKey: len(cfg.Organisations) > 0,
		limits:      cfg.Limits,
		priorities:  streamPriorities(cfg),
		routeNames:  map[string]bool{},
		services:    map[string]*Service{},
		version:     cfg.Version,
	}
	for _, o := range cfg.Organisations {
		for _, key := range o.Keys {
			c.byKey[key] = &o
		}
	}
	for _, r := range cfg.Routes {
		c.byHost[r.Host()] = append(c.byHost[r.Host()], r)
		c.routeNames[r.Name()] = true
	}
	for _, routes := range c.byHost {
		slices.SortFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.cfg.Prefix), len(a.cfg.Prefix))
		})
	}
	for _, s := range cfg.Services {
		c.services[s.Name()] = s
	}
	return c
}

// RequiresKey reports whether callers need an API key, except on public routes. They need one if
// there are organisations.
func (c *Configuration) RequiresKey() bool { return c.requiresKey }

// HasRoute reports whether there is a route with a name.
func (c *Configuration) HasRoute(name string) bool { return c.routeNames[name] }

// Limits returns the limits on callers' requests.
func (c *Configuration) Limits() Limits { return c.limits }

// Organisation returns the organisation that owns an API key, or nil.
func (c *Configuration) Organisation(key string) *Organisation { return c.byKey[key] }

// KeyOf returns an API key of the organisation with a name. It returns false if there is no such
// organisation or it has no key.
func (c *Configuration) KeyOf(organisation string) (string, bool) {
	for key, o := range c.byKey {
		if o.Name == organisation {
			return key, true
		}
	}
	return "", false
}

// Route returns the route of the host with the longest matching path prefix, or nil.
func (c *Configuration) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.cfg.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with a name, or nil.
func (c *Configuration) Service(name string) *Service { return c.services[name] }

// Version returns the version number that the operator gave the configuration.
func (c *Configuration) Version() int64 { return c.version }
