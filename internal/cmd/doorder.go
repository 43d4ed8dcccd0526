package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinlanguage"
)

// writeOrder writes an object as an operator's order. The write fails with a
// conflict unless the object still has the given version; VersionAbsent means that
// it must not exist yet.
func (c *Config) writeOrder(ctx context.Context, key savorypin.Key, version int64, spec any) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return savorypin.Errorf(savorypin.KindInvalid, key.String(), "%w", err)
	}
	o := apiObject{
		By:      c.operatorName,
		Kind:    string(key.Kind),
		Name:    key.Name,
		Order:   uuid.NewString(),
		Spec:    data,
		Version: version,
	}
	path := "/operator/v1/objects"
	if c.dryRun {
		path += "?dry_run=true"
	}
	var written apiObject
	if err := c.operatorCall(ctx, http.MethodPost, path, o, &written); err != nil {
		return err
	}
	if c.dryRun {
		fmt.Fprintf(c.stdout, "would write %s: %s\n", key, data)
		return nil
	}
	fmt.Fprintf(c.stdout, "%s ordered by %s at version %d, order %s\n", key, written.By, written.Version, written.Order)
	return nil
}

// editObject changes the spec of an existing object.
func editObject[T any](ctx context.Context, c *Config, key savorypin.Key, change func(*T) error) error {
	report, err := c.queryEntry(ctx)
	if err != nil {
		return err
	}
	current, err := report.findObject(key.Kind, key.Name)
	if err != nil {
		return err
	}
	var spec T
	if err := json.Unmarshal(current.Spec, &spec); err != nil {
		return savorypin.Errorf(savorypin.KindInvalid, key.String(), "%w", err)
	}
	if err := change(&spec); err != nil {
		return err
	}
	return c.writeOrder(ctx, key, current.Version, spec)
}

func (c *Config) orderMove(ctx context.Context, m *savorypinlanguage.Move) error {
	by, err := c.moveDeadline(m.By, m.In)
	if err != nil {
		return err
	}
	spec := savorypin.MoveSpec{By: by, From: m.From.Text, Service: m.Service.Text, To: m.To.Text}
	if m.Start != nil {
		if spec.Start, err = parseTime(*m.Start); err != nil {
			return err
		}
	}
	name := m.To.Text
	if m.Name != nil {
		name = m.Name.Text
	}
	report, err := c.queryEntry(ctx)
	if err != nil {
		return err
	}
	key := savorypin.Key{Kind: savorypin.KindMove, Name: name}
	if current, err := report.findObject(key.Kind, key.Name); err == nil {
		return savorypin.Errorf(savorypin.KindConflict, key.String(),
			"exists at version %d; give the move another name with 'as'", current.Version)
	}
	if err := report.checkMove(m); err != nil {
		return err
	}
	return c.writeOrder(ctx, key, savorypin.VersionAbsent, spec)
}

// checkMove checks that the service and the versions of a move exist and that the
// versions belong to the service.
func (r *stateReport) checkMove(m *savorypinlanguage.Move) error {
	if _, err := r.findObject(savorypin.KindService, m.Service.Text); err != nil {
		return savorypinlanguage.Errorf(m.Service, "no service %q", m.Service.Text)
	}
	for _, w := range []savorypinlanguage.Word{m.From, m.To} {
		o, err := r.findObject(savorypin.KindVersion, w.Text)
		if err != nil {
			return savorypinlanguage.Errorf(w, "no version %q", w.Text)
		}
		var spec savorypin.VersionSpec
		if json.Unmarshal(o.Spec, &spec) == nil && spec.Service != m.Service.Text {
			return savorypinlanguage.Errorf(w, "version %q belongs to service %q", w.Text, spec.Service)
		}
	}
	return nil
}

func (c *Config) orderMoveAction(ctx context.Context, name string, action savorypin.MoveAction) error {
	key := savorypin.Key{Kind: savorypin.KindMove, Name: name}
	return editObject(ctx, c, key, func(spec *savorypin.MoveSpec) error {
		spec.Action = action
		return nil
	})
}

func (c *Config) orderHasten(ctx context.Context, h *savorypinlanguage.Hasten) error {
	by, err := c.moveDeadline(h.By, h.In)
	if err != nil {
		return err
	}
	key := savorypin.Key{Kind: savorypin.KindMove, Name: h.Move.Text}
	return editObject(ctx, c, key, func(spec *savorypin.MoveSpec) error {
		if !by.Before(spec.By) {
			return savorypinlanguage.Errorf(h.Move, "move is already due by %s", spec.By.Format(time.RFC3339))
		}
		spec.By = by
		return nil
	})
}

func (c *Config) orderLimit(ctx context.Context, l *savorypinlanguage.Limit) error {
	key := savorypin.Key{Kind: savorypin.KindOrganisation, Name: l.Organisation.Text}
	return editObject(ctx, c, key, func(spec *savorypin.OrganisationSpec) error {
		for _, s := range l.Settings {
			if err := setLimit(spec, s); err != nil {
				return err
			}
		}
		return nil
	})
}

func setLimit(spec *savorypin.OrganisationSpec, s *savorypinlanguage.Setting) error {
	n, err := strconv.ParseFloat(s.Value.Text, 64)
	if err != nil || n < 0 {
		return savorypinlanguage.Errorf(s.Value, "%q is not a number of at least 0", s.Value.Text)
	}
	switch s.Field.Text {
	case "concurrency":
		if n != float64(int(n)) {
			return savorypinlanguage.Errorf(s.Value, "%q is not a whole number", s.Value.Text)
		}
		spec.Concurrency = int(n)
	case "requests":
		spec.RequestsPerSecond = n
	case "tokens":
		spec.TokensPerSecond = n
	case "weight":
		spec.Weight = n
	default:
		return savorypinlanguage.Errorf(s.Field, "no limit %q; the limits are concurrency, requests, tokens, weight", s.Field.Text)
	}
	return nil
}

// orderDrain orders or cancels the drain of an endpoint. It creates the object of
// the endpoint if there is none yet.
func (c *Config) orderDrain(ctx context.Context, endpoint string, drain bool) error {
	report, err := c.queryEntry(ctx)
	if err != nil {
		return err
	}
	if !report.hasEndpoint(endpoint) {
		return savorypin.Errorf(savorypin.KindNotFound, endpoint, "no such endpoint")
	}
	key := savorypin.Key{Kind: savorypin.KindEndpoint, Name: endpoint}
	current, err := report.findObject(key.Kind, key.Name)
	if err != nil {
		return c.writeOrder(ctx, key, savorypin.VersionAbsent, savorypin.EndpointSpec{Drain: drain})
	}
	var spec savorypin.EndpointSpec
	if err := json.Unmarshal(current.Spec, &spec); err != nil {
		return savorypin.Errorf(savorypin.KindInvalid, key.String(), "%w", err)
	}
	spec.Drain = drain
	return c.writeOrder(ctx, key, current.Version, spec)
}

func (r *stateReport) hasEndpoint(name string) bool {
	for _, m := range r.source.Members {
		for _, e := range m.State.Endpoints {
			if e.Name == name {
				return true
			}
		}
	}
	return false
}

func (c *Config) orderStop(ctx context.Context, s *savorypinlanguage.Stop) error {
	report, err := c.queryEntry(ctx)
	if err != nil {
		return err
	}
	var names []string
	for _, m := range report.source.Members {
		if (s.Domain != nil && m.State.Domain == s.Domain.Text) || (s.Member != nil && m.State.Name == s.Member.Text) {
			names = append(names, m.State.Name)
		}
	}
	if len(names) == 0 {
		return savorypin.Errorf(savorypin.KindNotFound, "stop", "no such member or failure domain")
	}
	for _, name := range names {
		if err := c.stopMember(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

// moveDeadline returns the deadline of a move, which is given as a time or as a
// duration from now.
func (c *Config) moveDeadline(by, in *savorypinlanguage.Word) (time.Time, error) {
	if by != nil {
		return parseTime(*by)
	}
	d, err := parseDuration(*in)
	if err != nil {
		return time.Time{}, err
	}
	return time.Now().Add(d).UTC().Truncate(time.Second), nil
}

func parseTime(w savorypinlanguage.Word) (time.Time, error) {
	t, err := time.Parse(time.RFC3339, w.Text)
	if err != nil {
		return t, savorypinlanguage.Errorf(w, "%q is not a time like 2026-12-05T06:00:00Z", w.Text)
	}
	return t, nil
}

func parseDuration(w savorypinlanguage.Word) (time.Duration, error) {
	d, err := time.ParseDuration(w.Text)
	if err != nil || d <= 0 {
		return 0, savorypinlanguage.Errorf(w, "%q is not a duration like 30m", w.Text)
	}
	return d, nil
}
