package savorypin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
)

// DecodeStrict decodes JSON into a T. It returns an error for fields that T does not
// have.
func DecodeStrict[T any](data []byte) (T, error) {
	var v T
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err := dec.Decode(&v)
	return v, err
}

// CheckObject returns an error of KindInvalid that names every invalid field of o. If
// the spec cannot be decoded, the error has the first decoding error instead of the
// fields of the spec.
func CheckObject(o Object) error {
	var errs []error
	if err := CheckName(o.Name); err != nil {
		errs = append(errs, err)
	}
	if err := checkSpec(o); err != nil {
		errs = append(errs, err)
	}
	if len(errs) == 0 {
		return nil
	}
	return Errorf(KindInvalid, o.String(), "%w", errors.Join(errs...))
}

func checkSpec(o Object) error {
	switch o.Kind {
	case KindEndpoint:
		return decodeAndCheck(o.Spec, EndpointSpec.check)
	case KindMove:
		return decodeAndCheck(o.Spec, MoveSpec.check)
	case KindOrganisation:
		return decodeAndCheck(o.Spec, OrganisationSpec.check)
	case KindRoute:
		return decodeAndCheck(o.Spec, RouteSpec.check)
	case KindService:
		return decodeAndCheck(o.Spec, ServiceSpec.check)
	case KindVersion:
		return decodeAndCheck(o.Spec, VersionSpec.check)
	case KindClaim, KindLease:
		return errors.New("kind: operators do not write this kind")
	default:
		return fmt.Errorf("kind: %q is not one of %v", o.Kind, ConfigKinds)
	}
}

func decodeAndCheck[T any](spec json.RawMessage, check func(T) error) error {
	if len(spec) == 0 {
		return errors.New("spec: is missing")
	}
	v, err := DecodeStrict[T](spec)
	if err != nil {
		return fmt.Errorf("spec: %w", err)
	}
	return check(v)
}

func (s EndpointSpec) check() error {
	if s.Role == "" {
		return nil
	}
	return checkReference("spec.role", s.Role)
}

func (s MoveSpec) check() error {
	var errs []error
	errs = append(errs, checkReference("spec.service", s.Service))
	errs = append(errs, checkReference("spec.from", s.From))
	errs = append(errs, checkReference("spec.to", s.To))
	errs = append(errs, checkEnum("spec.action", s.Action, "", MoveGo, MoveHold, MoveRollback))
	if s.From == s.To {
		errs = append(errs, errors.New("spec.to: is the same version as spec.from"))
	}
	if s.By.IsZero() {
		errs = append(errs, errors.New("spec.by: is missing"))
	}
	if !(s.MinShare >= 0 && s.MinShare <= 1) {
		errs = append(errs, fmt.Errorf("spec.minShare: %v is not between 0 and 1", s.MinShare))
	}
	if !s.Start.IsZero() && !s.Start.Before(s.By) {
		errs = append(errs, errors.New("spec.start: is not before spec.by"))
	}
	return errors.Join(errs...)
}

func (s OrganisationSpec) check() error {
	var errs []error
	errs = append(errs, checkLimit("spec.concurrency", float64(s.Concurrency)))
	errs = append(errs, checkLimit("spec.requestsPerSecond", s.RequestsPerSecond))
	errs = append(errs, checkLimit("spec.tokensPerSecond", s.TokensPerSecond))
	errs = append(errs, checkLimit("spec.weight", s.Weight))
	for i, sum := range s.TokenSHA256 {
		if !sha256RE.MatchString(sum) {
			errs = append(errs, fmt.Errorf("spec.tokenSha256[%d]: is not 64 hexadecimal digits", i))
		}
	}
	return errors.Join(errs...)
}

func (s RouteSpec) check() error {
	var errs []error
	errs = append(errs, checkReference("spec.service", s.Service))
	errs = append(errs, checkReference("spec.route", s.Route))
	if s.Path != "" && s.Path[0] != '/' {
		errs = append(errs, fmt.Errorf("spec.path: %q does not begin with /", s.Path))
	}
	return errors.Join(errs...)
}

func (s ServiceSpec) check() error {
	var errs []error
	errs = append(errs, checkEnum("spec.type", s.Type, ServiceGeneration, ServicePlain))
	errs = append(errs, checkEnum("spec.resume", s.Resume, "", ResumeFrugal, ResumeLatency))
	errs = append(errs, checkLimit("spec.timeoutSeconds", float64(s.TimeoutSeconds)))
	if s.Version != "" {
		errs = append(errs, checkReference("spec.version", s.Version))
	}
	return errors.Join(errs...)
}

func (s VersionSpec) check() error {
	var errs []error
	errs = append(errs, checkReference("spec.service", s.Service))
	errs = append(errs, checkLimit("spec.replicas", float64(s.Replicas)))
	if s.Model == "" {
		errs = append(errs, errors.New("spec.model: is missing"))
	}
	return errors.Join(errs...)
}

func checkEnum[T ~string](field string, value T, allowed ...T) error {
	if slices.Contains(allowed, value) {
		return nil
	}
	return fmt.Errorf("%s: %q is not one of %q", field, value, allowed)
}

func checkLimit(field string, value float64) error {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return fmt.Errorf("%s: %v is not a finite number of at least 0", field, value)
	}
	return nil
}

func checkReference(field, name string) error {
	if name == "" {
		return fmt.Errorf("%s: is missing", field)
	}
	if err := CheckName(name); err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	return nil
}
