package savorypin

import (
	"encoding/json"
	"fmt"
	"regexp"
	"time"
)

// Kind is the kind of an object in the platform's object API.
type Kind string

// The kinds of objects, in sorted order.
const (
	KindClaim        Kind = "claims"
	KindEndpoint     Kind = "endpoints"
	KindLease        Kind = "leases"
	KindMove         Kind = "moves"
	KindOrganisation Kind = "organisations"
	KindRoute        Kind = "routes"
	KindService      Kind = "services"
	KindVersion      Kind = "versions"
)

// ConfigKinds are the kinds that every daemon keeps a copy of, in sorted order.
var ConfigKinds = []Kind{KindEndpoint, KindMove, KindOrganisation, KindRoute, KindService, KindVersion}

// Key names an object.
type Key struct {
	Kind Kind   `json:"kind" msgpack:"k"`
	Name string `json:"name" msgpack:"n"`
}

// String returns the key as kind/name.
func (k Key) String() string {
	return string(k.Kind) + "/" + k.Name
}

// Object is a configuration object at one version. Its fields are exported
// for the codecs.
type Object struct {
	Key
	// At is when the operator gave the order for this version.
	At time.Time `json:"at" msgpack:"at"`
	// By is the operator who wrote this version.
	By string `json:"by" msgpack:"by"`
	// Deleted marks a tombstone: the object is deleted, and Version is that of the
	// deletion.
	Deleted bool `json:"deleted,omitempty" msgpack:"del,omitempty"`
	// Earlier are the order ids of the last writes before this one. A client whose
	// response was lost finds its order here if a later write has replaced it.
	Earlier []string `json:"earlier,omitempty" msgpack:"ear,omitempty"`
	// Era counts how often the platform's store was restored from an older copy of
	// itself; 0 if the platform does not report eras. A version of a later era is newer,
	// whatever its number.
	Era int64 `json:"era,omitempty" msgpack:"era,omitempty"`
	// Order is the id of the write. A client whose response was lost compares it to
	// find out whether its write was applied.
	Order string `json:"order" msgpack:"ord"`
	// Spec is what the operator wants.
	Spec json.RawMessage `json:"spec" msgpack:"spec"`
	// Status is what the system reports.
	Status json.RawMessage `json:"status,omitempty" msgpack:"stat,omitempty"`
	// Version is assigned by the platform and increases with every write of any
	// object.
	Version int64 `json:"version" msgpack:"v"`
}

// VersionAbsent is the version in a write of an object that must not exist yet.
const VersionAbsent int64 = -1

// MaxNameLength is the maximum length of the name of an object, in bytes.
const MaxNameLength = 63

var (
	nameRE   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	sha256RE = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// CheckName returns an error if name is not a valid name of an object.
func CheckName(name string) error {
	if len(name) > MaxNameLength {
		return fmt.Errorf("name %q is longer than %d bytes", name, MaxNameLength)
	}
	if !nameRE.MatchString(name) {
		return fmt.Errorf("name %q is not made of lower-case letters, digits, dots and hyphens", name)
	}
	return nil
}
