package savorypin

import "time"

// ServiceType tells generating services from plain ones.
type ServiceType string

// The types of services.
const (
	// ServiceGeneration is a service of model engines.
	ServiceGeneration ServiceType = "generation"
	// ServicePlain is a service that answers calls.
	ServicePlain ServiceType = "plain"
)

// ResumePolicy says what a service prefers when an answer has to be resumed.
type ResumePolicy string

// The resume policies.
const (
	// ResumeFrugal waits until an attempt has surely failed.
	ResumeFrugal ResumePolicy = "frugal"
	// ResumeLatency starts a second attempt as soon as the first is suspected.
	ResumeLatency ResumePolicy = "latency"
)

// ServiceSpec configures a service.
type ServiceSpec struct {
	// Priority is passed to the engines; higher runs sooner.
	Priority int `json:"priority,omitempty"`
	// Resume chooses between resume latency and extra work.
	Resume ResumePolicy `json:"resume,omitempty"`
	// TimeoutSeconds bounds a request that states no timeout.
	TimeoutSeconds int `json:"timeoutSeconds,omitempty"`
	// Type tells generating services from plain ones.
	Type ServiceType `json:"type"`
	// Version is the version that serves while no move says otherwise.
	Version string `json:"version,omitempty"`
}

// VersionSpec configures one version of a service.
type VersionSpec struct {
	// Adapter is the adapter to load beside the model, if any.
	Adapter string `json:"adapter,omitempty"`
	// Model is the name under which engines know the version.
	Model string `json:"model"`
	// Replicas is the number of endpoints that should have the version loaded;
	// 0 leaves it where it is.
	Replicas int `json:"replicas,omitempty"`
	// Service is the service that the version belongs to.
	Service string `json:"service"`
}

// RouteSpec configures one route of a service.
type RouteSpec struct {
	// Idempotent says that calls may be repeated.
	Idempotent bool `json:"idempotent"`
	// Path is the HTTP path at the endpoint of a plain service.
	Path string `json:"path,omitempty"`
	// Route is the name that callers use.
	Route string `json:"route"`
	// Service is the service that the route belongs to.
	Service string `json:"service"`
}

// OrganisationSpec configures an organisation. A zero limit means no limit.
type OrganisationSpec struct {
	// Concurrency is the largest number of requests at one time.
	Concurrency int `json:"concurrency,omitempty"`
	// RequestsPerSecond is the largest rate of requests.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	// TokenSHA256 are the SHA-256 sums of the accepted bearer tokens, in
	// hexadecimal.
	TokenSHA256 []string `json:"tokenSha256,omitempty"`
	// TokensPerSecond is the largest rate of generated tokens.
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty"`
	// Weight is the share under overload; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
}

// EndpointSpec says what operators want of one endpoint.
type EndpointSpec struct {
	// Drain takes new work away from the endpoint.
	Drain bool `json:"drain,omitempty"`
	// Role is the role that the endpoint should have; empty for any.
	Role string `json:"role,omitempty"`
}

// MoveState is the state of a move of traffic.
type MoveState string

// The states of a move.
const (
	// MoveDone means that all traffic has gone to the new version.
	MoveDone MoveState = "done"
	// MovePaused means that an operator holds the share where it is.
	MovePaused MoveState = "paused"
	// MovePending means that the new version has no traffic yet.
	MovePending MoveState = "pending"
	// MoveRunning means that the new version has a share of the traffic.
	MoveRunning MoveState = "running"
	// MoveTakenBack means that all traffic has gone back to the old version.
	MoveTakenBack MoveState = "taken_back"
)

// MoveAction is what an operator orders of a move that exists.
type MoveAction string

// The actions of a move.
const (
	// MoveGo lets the move run; it is the default.
	MoveGo MoveAction = "go"
	// MoveHold keeps the share where it is.
	MoveHold MoveAction = "hold"
	// MoveRollback takes the traffic back.
	MoveRollback MoveAction = "rollback"
)

// MoveSpec orders a move of traffic from one version to another.
type MoveSpec struct {
	// Action is what the operator wants of the move.
	Action MoveAction `json:"action,omitempty"`
	// By is when the move should be done.
	By time.Time `json:"by"`
	// From is the version that has the traffic.
	From string `json:"from"`
	// MinShare is a share that the move takes at once, however thin the evidence
	// is, 0 to 1. It speeds a move up.
	MinShare float64 `json:"minShare,omitempty"`
	// Service is the service whose traffic moves.
	Service string `json:"service"`
	// Start is when the move may begin; zero means at once.
	Start time.Time `json:"start,omitzero"`
	// To is the version that gets the traffic.
	To string `json:"to"`
}

// MoveStatus reports on a move.
type MoveStatus struct {
	// At is when the move came into its state.
	At time.Time `json:"at,omitzero"`
	// Begun is when the new version got its first share.
	Begun time.Time `json:"begun,omitzero"`
	// Epoch is the version of the object when the move was taken on. It tells a
	// move from a later one of the same name, and orders the moves of a service.
	Epoch int64 `json:"epoch,omitempty"`
	// Evidence is the text of the comparison that led to the state.
	Evidence string `json:"evidence,omitempty"`
	// Reason says why the move is in its state.
	Reason string `json:"reason,omitempty"`
	// Requests is the number of attempts on the new version that had been compared
	// when the share or the state changed last.
	Requests int `json:"requests,omitempty"`
	// Share is the share of the traffic that the new version has, 0 to 1.
	Share float64 `json:"share"`
	// State is the state of the move.
	State MoveState `json:"state"`
}
