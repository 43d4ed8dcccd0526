package savorypingateway

import "time"

// Settings are the parameters that a gateway reads from its host at startup and on a reload.
type Settings struct {
	// ConfigDelay is the maximum time until a new configuration is in force.
	ConfigDelay time.Duration
	// Domain is the failure domain of the host.
	Domain string
	// Domains are all failure domains, in the platform's order.
	Domains []string
	// DrainDelay is the time after which a leaving endpoint must get no more requests.
	DrainDelay time.Duration
	// ExposureShare and ExposureSlack limit the requests that a bad version may get.
	ExposureShare float64
	ExposureSlack float64
	// StopGracePeriod is the time between the stop signal and the kill.
	StopGracePeriod time.Duration
	// Heartbeat is the interval at which endpoints renew their entries.
	Heartbeat time.Duration
	// Host is the IP address of the host.
	Host string
	// Listen is the address on which callers are served.
	Listen string
	// MaxDescriptors is the limit on open file descriptors; zero means that of the process.
	MaxDescriptors int
	// MemoryBytes is the memory limit of the process; zero means none.
	MemoryBytes int64
	// MetricsPort is the port of the metrics and of the state dump.
	MetricsPort int
	// Name is the unique name of the gateway.
	Name string
	// PeerKeys authenticate messages between gateways: the first one seals messages, each of
	// them opens them. Empty keys are ignored; without any key, messages of any sender are
	// accepted.
	PeerKeys []string
	// PeerPort is the port on which other gateways are served.
	PeerPort int
	// MinPromptRetention is the minimum time for which an engine retains a prompt that it has read.
	MinPromptRetention time.Duration
	// ReadinessListen is the address on which the load balancer's readiness checks are served.
	ReadinessListen string
	// Region is the region of the host.
	Region string
	// Regions maps failure domains to regions.
	Regions map[string]string
	// RetryRatio, RetrySlack and RetryWindow limit the retries of all gateways together.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// RevocationDelay is the time after which requests with a revoked key must be refused.
	RevocationDelay time.Duration
	// Seeds are the IP addresses of hosts on which other gateways may run.
	Seeds []string
	// Store is the base URL of the object store.
	Store string
	// StrictRevocation makes RevocationDelay hold even while the store is unreachable.
	StrictRevocation bool
}
