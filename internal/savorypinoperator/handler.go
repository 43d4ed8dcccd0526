// Package savorypinoperator serves the operators' API of a daemon. Every daemon serves it,
// agents as well as entries.
package savorypinoperator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	goahttp "goa.design/goa/v3/http"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinapi"
	operatorserver "savorypin/internal/savorypinapi/gen/http/operator/server"
	operator "savorypin/internal/savorypinapi/gen/operator"
	"savorypin/internal/savorypindaemon"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinmetrics"
	"savorypin/internal/savorypinplatform"

	"github.com/google/uuid"
)

// Config configures the handler of the operators' API.
type Config struct {
	// Daemon is the daemon whose state the API serves.
	Daemon *savorypindaemon.Daemon
}

// service implements the operators' API.
type service struct {
	daemon *savorypindaemon.Daemon
}

// NewHandler returns the handler of the operators' API.
func NewHandler(cfg Config) http.Handler {
	mux := goahttp.NewMuxer()
	Mount(mux, cfg)
	return mux
}

// Mount adds the operators' API and the metrics to a muxer.
func Mount(mux goahttp.Muxer, cfg Config) {
	s := &service{daemon: cfg.Daemon}
	endpoints := operator.NewEndpoints(s)
	server := operatorserver.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, s.logError, nil)
	operatorserver.Mount(mux, server)
	mux.Handle(http.MethodGet, "/metrics", savorypinmetrics.NewHandler(cfg.Daemon.Metrics()).ServeHTTP)
}

// logError logs an error of encoding or writing a response. Errors of requests are in the
// responses.
func (s *service) logError(_ context.Context, _ http.ResponseWriter, err error) {
	s.daemon.Logger().Warn("Failed to write a response of the operators' API", "err", err)
}

// Apply creates or replaces an object, or only checks it in a dry run.
func (s *service) Apply(ctx context.Context, p *operator.ApplyPayload) (*operator.Object, error) {
	if err := s.authorize(p.Authorization); err != nil {
		return nil, err
	}
	o, err := fromAPI(p.Object)
	if err != nil {
		return nil, apiFailure(err)
	}
	if err := savorypin.CheckObject(o); err != nil {
		return nil, apiFailure(err)
	}
	if p.DryRun != nil && *p.DryRun {
		return toAPI(o), nil
	}
	written, err := s.writer().write(ctx, o)
	if err != nil {
		return nil, apiFailure(platformError(o.Key, err))
	}
	return toAPI(written), nil
}

// Remove deletes an object.
func (s *service) Remove(ctx context.Context, p *operator.RemovePayload) error {
	if err := s.authorize(p.Authorization); err != nil {
		return err
	}
	key := savorypin.Key{Kind: savorypin.Kind(p.Kind), Name: p.Name}
	if err := s.writer().remove(ctx, key); err != nil {
		return apiFailure(platformError(key, err))
	}
	return nil
}

func (s *service) writer() writer {
	platform := s.daemon.Platform()
	return writer{create: platform.Create, get: platform.Get, delete: platform.Delete, update: platform.Update}
}

// List returns the objects in force at this daemon.
func (s *service) List(_ context.Context, p *operator.ListPayload) ([]*operator.Object, error) {
	if err := s.authorize(p.Authorization); err != nil {
		return nil, err
	}
	objects := []*operator.Object{}
	for key, o := range s.daemon.Config().Objects() {
		if o.Deleted || !matchesFilter(p.Kind, string(key.Kind)) || !matchesFilter(p.Name, key.Name) {
			continue
		}
		objects = append(objects, toAPI(o))
	}
	return objects, nil
}

// Force reports how many members have a version of an object in force, and which ones lag
// or can't be reached.
func (s *service) Force(ctx context.Context, p *operator.ForcePayload) (*operator.ForceResult, error) {
	if err := s.authorize(p.Authorization); err != nil {
		return nil, err
	}
	key := savorypin.Key{Kind: savorypin.Kind(p.Kind), Name: p.Name}
	status := s.daemon.InForce(ctx, key, p.Version)
	return &operator.ForceResult{
		InForce:     status.InForce,
		Lagging:     append([]string{}, status.Lagging...),
		Members:     status.Members,
		Unreachable: append([]string{}, status.Unreachable...),
	}, nil
}

// Stop orders a planned stop of a member.
func (s *service) Stop(ctx context.Context, p *operator.StopPayload) error {
	if err := s.authorize(p.Authorization); err != nil {
		return err
	}
	if p.Member == s.daemon.Settings().Name {
		s.daemon.Stop()
		return nil
	}
	m, ok := s.daemon.Members().Get(p.Member)
	if !ok {
		return apiFailure(savorypin.Errorf(savorypin.KindNotFound, p.Member, "no such member"))
	}
	_, err := savorypinmember.Call[savorypinmember.Stop, savorypinmember.Empty](
		ctx, s.daemon.Transport(), m.State().Address, savorypinmember.FrameStop, savorypinmember.Stop{By: savorypinapi.ValueOf(p.By)})
	if err != nil {
		return apiFailure(savorypin.Errorf(savorypin.KindUnreachable, p.Member, "%w", err))
	}
	return nil
}

// Dump is a daemon's state dump.
type Dump struct {
	Config   savorypin.Digest      `json:"config"`
	Members  []MemberDump          `json:"members"`
	Sections map[string]any        `json:"sections"`
	Self     savorypin.MemberState `json:"self"`
}

// MemberDump is one member in a daemon's state dump.
type MemberDump struct {
	Health   string                `json:"health"`
	LastSeen time.Time             `json:"heard"`
	State    savorypin.MemberState `json:"state"`
}

// State returns the state dump of the daemon.
func (s *service) State(_ context.Context, p *operator.StatePayload) (any, error) {
	if err := s.authorize(p.Authorization); err != nil {
		return nil, err
	}
	dump := Dump{Config: s.daemon.Config().Digest(), Sections: s.daemon.States(), Self: s.daemon.Self()}
	for _, m := range s.daemon.Members().All() {
		dump.Members = append(dump.Members, MemberDump{
			Health:   string(m.Health()),
			LastSeen: m.LastSeen(),
			State:    m.State(),
		})
	}
	return dump, nil
}

// authorize checks the operators' bearer token in constant time.
func (s *service) authorize(header *string) error {
	want := sha256.Sum256([]byte(s.daemon.Settings().OperatorToken))
	got := sha256.Sum256([]byte(strings.TrimPrefix(savorypinapi.ValueOf(header), "Bearer ")))
	if subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
		return apiFailure(savorypin.Errorf(savorypin.KindUnauthorized, "operator", "bearer token is missing or wrong"))
	}
	return nil
}

// matchesFilter reports whether a value passes a filter. A nil or empty filter passes
// every value.
func matchesFilter(filter *string, value string) bool {
	return filter == nil || *filter == "" || *filter == value
}

// platformError returns the typed error for an error of the platform's client.
func platformError(key savorypin.Key, err error) error {
	var e *savorypin.Error
	switch {
	case errors.As(err, &e):
		return e
	case errors.Is(err, savorypinplatform.ErrConflict):
		return savorypin.Errorf(savorypin.KindConflict, key.String(), "%w", err)
	case errors.Is(err, savorypinplatform.ErrNotFound):
		return savorypin.Errorf(savorypin.KindNotFound, key.String(), "%w", err)
	case errors.Is(err, savorypinplatform.ErrRejected):
		return savorypin.Errorf(savorypin.KindInvalid, key.String(), "%w", err)
	default:
		return savorypin.Errorf(savorypin.KindUnreachable, key.String(), "%w", err)
	}
}

// apiFailure returns the API's error response for an error.
func apiFailure(err error) error {
	var e *savorypin.Error
	if !errors.As(err, &e) {
		return &operator.Failure{Kind: string(savorypin.KindUnknown), Message: err.Error()}
	}
	f := &operator.Failure{Kind: string(e.Kind), Message: e.Detail(), Object: &e.Object}
	if seconds := savorypin.RetryAfterSecondsOf(e); seconds > 0 {
		f.RetryAfter = &seconds
	}
	return f
}

func fromAPI(in *operator.Object) (savorypin.Object, error) {
	o := savorypin.Object{
		At:    time.Now(),
		By:    savorypinapi.ValueOf(in.By),
		Key:   savorypin.Key{Kind: savorypin.Kind(in.Kind), Name: in.Name},
		Order: savorypinapi.ValueOf(in.Order),
	}
	if in.Version != nil {
		o.Version = *in.Version
	}
	if o.Order == "" {
		o.Order = uuid.NewString()
	}
	spec, err := json.Marshal(in.Spec)
	if err != nil {
		return o, savorypin.Errorf(savorypin.KindInvalid, o.String(), "spec: %w", err)
	}
	o.Spec = spec
	return o, nil
}

func toAPI(o savorypin.Object) *operator.Object {
	at := o.At.UTC().Format(time.RFC3339)
	out := &operator.Object{
		At:      &at,
		By:      &o.By,
		Kind:    string(o.Kind),
		Name:    o.Name,
		Order:   &o.Order,
		Spec:    o.Spec,
		Version: &o.Version,
	}
	if len(o.Status) > 0 {
		out.Status = o.Status
	}
	return out
}
