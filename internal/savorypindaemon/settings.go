package savorypindaemon

import "time"

// DefaultConnectionBytes is the default of Settings.ConnectionBytes.
const DefaultConnectionBytes = 16 << 20

// DefaultAnswerBytes is the default of Settings.AnswerBytes.
const DefaultAnswerBytes = 192 << 20

// DefaultCallerGrace is the default of Settings.CallerGrace.
const DefaultCallerGrace = 10 * time.Second

// Settings are the settings of a daemon from flags and environment variables.
type Settings struct {
	// AnswerBytes is the maximum memory of answers, in bytes; zero means
	// DefaultAnswerBytes.
	AnswerBytes int
	// CallerGrace is how long a generation continues without a caller; zero means
	// DefaultCallerGrace.
	CallerGrace time.Duration
	// ConnectionBytes is the maximum memory of the HTTP connections whose request isn't
	// complete, in bytes; zero means DefaultConnectionBytes.
	ConnectionBytes int
	// Domain is the failure domain of the host.
	Domain string
	// HTTP is the address to listen on for callers, operators and metrics scrapers.
	HTTP string
	// Key is the shared secret with which daemons authenticate each other.
	Key string
	// LeaseDuration is how long a lease is valid after a renewal.
	LeaseDuration time.Duration
	// Listen is the address to listen on for other daemons.
	Listen string
	// Name is the name of the daemon, unique in the system.
	Name string
	// OperatorToken is the bearer token of the operators.
	OperatorToken string
	// Platform is the base URL of the platform.
	Platform string
	// PlatformToken is the bearer token for the platform.
	PlatformToken string
	// Region is the region of the failure domain.
	Region string
	// Seeds are the addresses of daemons to contact first.
	Seeds []string
	// StopGrace is how long running work may take to finish on a planned stop before
	// it is handed over.
	StopGrace time.Duration
	// WeightLoads is the number of concurrent loads that the weight store can sustain.
	WeightLoads int
}

// Grace returns how long a generation continues without a caller.
func (s Settings) Grace() time.Duration {
	if s.CallerGrace == 0 {
		return DefaultCallerGrace
	}
	return s.CallerGrace
}

// ConnectionMemory returns the maximum memory of connections whose request isn't complete, in bytes.
func (s Settings) ConnectionMemory() int {
	if s.ConnectionBytes == 0 {
		return DefaultConnectionBytes
	}
	return s.ConnectionBytes
}

// AnswerMemory returns the maximum memory of answers, in bytes.
func (s Settings) AnswerMemory() int {
	if s.AnswerBytes == 0 {
		return DefaultAnswerBytes
	}
	return s.AnswerBytes
}
