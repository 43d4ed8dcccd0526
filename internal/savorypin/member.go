package savorypin

// Role is the function of a daemon in the cluster.
type Role string

// The roles of daemons.
const (
	// RoleAgent is a daemon that runs beside endpoints and relays requests to them.
	RoleAgent Role = "agent"
	// RoleEntry is a daemon that accepts requests of callers and operators.
	RoleEntry Role = "entry"
)

// EndpointType tells engines from plain services.
type EndpointType string

// The types of endpoints.
const (
	// EndpointEngine is a model engine.
	EndpointEngine EndpointType = "engine"
	// EndpointPlain is a plain service.
	EndpointPlain EndpointType = "plain"
)

// EndpointState is the state of an endpoint as its agent reports it. Its fields are
// exported for the codecs.
type EndpointState struct {
	// CachedPrefixes are hashes of prompt prefixes that the engine holds.
	CachedPrefixes []uint64 `json:"cachedPrefixes,omitempty" msgpack:"pfx,omitempty"`
	// Drained reports whether the endpoint has completed an order to drain.
	Drained bool `json:"drained,omitempty" msgpack:"drn,omitempty"`
	// Healthy reports whether the endpoint answers.
	Healthy bool `json:"healthy" msgpack:"ok"`
	// MaxVersions is the number of versions that the endpoint can have loaded at once.
	MaxVersions int `json:"maxVersions,omitempty" msgpack:"max,omitempty"`
	// Name is the name of the endpoint, unique in the system.
	Name string `json:"name" msgpack:"n"`
	// Role is the role of the endpoint, if it was ordered to take one.
	Role string `json:"role,omitempty" msgpack:"role,omitempty"`
	// Running is the number of requests that the endpoint is running.
	Running int `json:"running" msgpack:"run"`
	// Service is the service that the endpoint serves.
	Service string `json:"service" msgpack:"svc"`
	// Slots is the number of requests that the endpoint runs at once.
	Slots int `json:"slots" msgpack:"slots"`
	// TokensPerSecond is the decoding rate of one request.
	TokensPerSecond float64 `json:"tokensPerSecond" msgpack:"tps"`
	// PrefillPerSecond is the rate of processing prompts, in tokens per second.
	PrefillPerSecond float64 `json:"prefillPerSecond" msgpack:"pps"`
	// Type tells engines from plain services.
	Type EndpointType `json:"type" msgpack:"t"`
	// Versions are the loaded versions.
	Versions []string `json:"versions" msgpack:"ver"`
	// Waiting is the number of requests that are queued at the endpoint.
	Waiting int `json:"waiting" msgpack:"wait"`
}

// MemberState is the state of a daemon as the daemon itself reports it. Its fields
// are exported for the codecs.
type MemberState struct {
	// Address is the IP address and port for other daemons.
	Address string `json:"address" msgpack:"addr"`
	// Applied is a digest of the configuration in force.
	Applied Digest `json:"applied" msgpack:"app"`
	// Domain is the failure domain.
	Domain string `json:"domain" msgpack:"dom"`
	// Draining reports whether the member accepts no new work.
	Draining bool `json:"draining" msgpack:"drain"`
	// Endpoints are the endpoints of an agent.
	Endpoints []EndpointState `json:"endpoints,omitempty" msgpack:"eps,omitempty"`
	// HTTP is the IP address and port for callers, operators and scrapers.
	HTTP string `json:"http" msgpack:"http"`
	// Incarnation identifies one start of the daemon; a later start has a larger one.
	Incarnation int64 `json:"incarnation" msgpack:"inc"`
	// Name is the name of the member.
	Name string `json:"name" msgpack:"n"`
	// Region is the region of the failure domain.
	Region string `json:"region" msgpack:"reg"`
	// Role is the function of the daemon in the cluster.
	Role Role `json:"role" msgpack:"role"`
	// Sequence increases with every change of the state within one incarnation.
	Sequence uint64 `json:"sequence" msgpack:"seq"`
}

// Newer reports whether s supersedes o. Both must be states of the same member.
func (s MemberState) Newer(o MemberState) bool {
	if s.Incarnation != o.Incarnation {
		return s.Incarnation > o.Incarnation
	}
	return s.Sequence > o.Sequence
}

// Digest summarizes the configuration that a member has in force, so that two members
// can compare theirs.
type Digest struct {
	// Hash is the sum of the hashes of all objects with their versions.
	Hash uint64 `json:"hash" msgpack:"h"`
	// Version is the newest version of any object.
	Version int64 `json:"version" msgpack:"v"`
}
