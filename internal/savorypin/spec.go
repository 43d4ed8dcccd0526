package savorypin

import "time"

// ServiceType is the type of a service: generating or plain.
type ServiceType string

// The types of services.
const (
	// ServiceGeneration is a service whose engines generate tokens.
	ServiceGeneration ServiceType = "generation"
	// ServicePlain is a service that answers HTTP calls without generating tokens.
	ServicePlain ServiceType = "plain"
)

// ResumePolicy is the trade-off between latency and extra work when an answer has to
// be resumed.
type ResumePolicy string

// The resume policies.
const (
	// ResumeFrugal starts a second attempt only once the first has certainly failed.
	ResumeFrugal ResumePolicy = "frugal"
	// ResumeLatency starts a second attempt as soon as the first is suspected of having
	// failed.
	ResumeLatency ResumePolicy = "latency"
)

// ServiceSpec configures a service.
type ServiceSpec struct {
	// Priority is passed to the engines, which run higher priorities first.
	Priority int `json:"priority,omitempty"`
	// Resume chooses between resume latency and extra work.
	Resume ResumePolicy `json:"resume,omitempty"`
	// TimeoutSeconds is the timeout of a request that states none.
	TimeoutSeconds int `json:"timeoutSeconds,omitempty"`
	// Type is the type of the service: generating or plain.
	Type ServiceType `json:"type"`
	// Version is the version that serves all requests unless a move is in force.
	Version string `json:"version,omitempty"`
}

// VersionSpec configures one version of a service.
type VersionSpec struct {
	// Adapter is the adapter to load in addition to the model, if any.
	Adapter string `json:"adapter,omitempty"`
	// Model is the name of the version at the engines.
	Model string `json:"model"`
	// Replicas is the number of endpoints that should have the version loaded;
	// 0 leaves the loaded versions of the endpoints unchanged.
	Replicas int `json:"replicas,omitempty"`
	// Service is the service that the version belongs to.
	Service string `json:"service"`
}

// RouteSpec configures one route of a service.
type RouteSpec struct {
	// Idempotent reports whether calls may be repeated safely.
	Idempotent bool `json:"idempotent"`
	// Path is the HTTP path at the endpoint of a plain service.
	Path string `json:"path,omitempty"`
	// Route is the name of the route in requests of callers.
	Route string `json:"route"`
	// Service is the service that the route belongs to.
	Service string `json:"service"`
}

// OrganisationSpec configures an organisation. A zero limit means no limit.
type OrganisationSpec struct {
	// Concurrency is the maximum number of concurrent requests.
	Concurrency int `json:"concurrency,omitempty"`
	// RequestsPerSecond is the maximum rate of requests.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	// TokenSHA256 are the SHA-256 sums of the accepted bearer tokens, in
	// hexadecimal.
	TokenSHA256 []string `json:"tokenSha256,omitempty"`
	// TokensPerSecond is the maximum rate of generated tokens.
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty"`
	// Weight is the relative share of the capacity under overload; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
}

// EndpointSpec configures one endpoint.
type EndpointSpec struct {
	// Drain reports whether the endpoint is to get no new work.
	Drain bool `json:"drain,omitempty"`
	// Role is the role that the endpoint should have; empty for any.
	Role string `json:"role,omitempty"`
}

// MoveState is the state of a move of traffic.
type MoveState string

// The states of a move.
const (
	// MoveDone means that the new version has all traffic.
	MoveDone MoveState = "done"
	// MovePaused means that an operator holds the share of the new version as it is.
	MovePaused MoveState = "paused"
	// MovePending means that the new version has no traffic yet.
	MovePending MoveState = "pending"
	// MoveRunning means that the new version has a share of the traffic.
	MoveRunning MoveState = "running"
	// MoveRolledBack means that all traffic was returned to the old version.
	MoveRolledBack MoveState = "taken_back"
)

// MoveAction is an operator's order for an existing move.
type MoveAction string

// The actions of a move.
const (
	// MoveGo lets the move proceed; it is the default.
	MoveGo MoveAction = "go"
	// MoveHold keeps the share of the new version as it is.
	MoveHold MoveAction = "hold"
	// MoveRollback returns all traffic to the old version.
	MoveRollback MoveAction = "rollback"
)

// MoveSpec orders a move of traffic from one version to another.
type MoveSpec struct {
	// Action is the operator's order; empty means MoveGo.
	Action MoveAction `json:"action,omitempty"`
	// By is the time by which the move should be done.
	By time.Time `json:"by"`
	// From is the old version.
	From string `json:"from"`
	// MinShare is the minimum share of the new version, 0 to 1. The move grants it at
	// once, even if few requests have been compared, which speeds the move up. It does
	// not raise the share while the move is held, while no endpoint serves the new version
	// or while the comparison is unfavourable, and does not prevent a cut of the share.
	MinShare float64 `json:"minShare,omitempty"`
	// Service is the service whose traffic moves.
	Service string `json:"service"`
	// Start is when the move may begin; zero means at once.
	Start time.Time `json:"start,omitzero"`
	// To is the new version.
	To string `json:"to"`
}

// MoveStatus reports on a move.
type MoveStatus struct {
	// At is when the move entered its state.
	At time.Time `json:"at,omitzero"`
	// Begun is when the new version got its first share.
	Begun time.Time `json:"begun,omitzero"`
	// Epoch is the version of the object when the controller started the move; 0 if the
	// move has not started. It distinguishes a move from a later one of the same name, and
	// orders the moves of a service.
	Epoch int64 `json:"epoch,omitempty"`
	// Evidence is the text of the comparison that led to the state.
	Evidence string `json:"evidence,omitempty"`
	// Reason says why the move is in its state.
	Reason string `json:"reason,omitempty"`
	// Requests is the number of attempts on the new version that had been compared
	// when the share or the state last changed.
	Requests int `json:"requests,omitempty"`
	// Share is the share of the traffic that the new version has, 0 to 1.
	Share float64 `json:"share"`
	// State is the state of the move.
	State MoveState `json:"state"`
}
