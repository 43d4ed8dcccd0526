package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinconfig"
	"savorypin/internal/savorypinlanguage"
	"savorypin/internal/savorypinmove"
)

// explain says why something was decided.
func (c *Config) explain(ctx context.Context, e *savorypinlanguage.Explain) error {
	switch {
	case e.Move != nil:
		return c.explainMove(ctx, e.Move.Text)
	case e.Refusal != nil:
		return c.explainRefusals(ctx, e.Refusal.Text)
	default:
		return c.explainShare(ctx, e.Share.Text)
	}
}

func (c *Config) explainMove(ctx context.Context, name string) error {
	a, err := c.ask(ctx)
	if err != nil {
		return err
	}
	o, err := a.object(savorypin.KindMove, name)
	if err != nil {
		return err
	}
	var spec savorypin.MoveSpec
	if err := json.Unmarshal(o.Spec, &spec); err != nil {
		return savorypin.Errorf(savorypin.KindInvalid, o.String(), "%w", err)
	}
	status, err := a.moveStatus(name)
	if err != nil {
		return err
	}
	return c.printRows([]string{"what", "value"}, [][]string{
		{"service", spec.Service},
		{"from", spec.From},
		{"to", spec.To},
		{"by", spec.By.Format(time.RFC3339)},
		{"action", string(spec.Action)},
		{"state", string(status.State)},
		{"share", fmt.Sprintf("%.3f", status.Share)},
		{"reason", status.Reason},
		{"evidence", status.Evidence},
		{"answer", a.freshness()},
	})
}

// explainShare says which versions of a service get new work, and why.
func (c *Config) explainShare(ctx context.Context, service string) error {
	a, err := c.ask(ctx)
	if err != nil {
		return err
	}
	if _, err := a.object(savorypin.KindService, service); err != nil {
		return err
	}
	store := savorypinconfig.NewStore()
	store.Apply(a.source.Objects...)
	snapshot := store.Snapshot()
	traffic := savorypinmove.TrafficOf(snapshot, service)
	rows := [][]string{}
	for _, version := range traffic.Versions() {
		rows = append(rows, []string{"version", version, fmt.Sprintf("share %.3f of new work", traffic.ShareOf(version))})
	}
	for _, m := range snapshot.Moves(service) {
		rows = append(rows, []string{"move", m.Name, fmt.Sprintf("%s to %s is %s: %s",
			m.Spec.From, m.Spec.To, m.Status.State, m.Status.Reason)})
	}
	return c.printRows([]string{"what", "name", "why"}, rows)
}

// refusalSection is what entries report of refusals in their state dump.
type refusalSection struct {
	Refusals []struct {
		Kind         string `json:"kind"`
		Organisation string `json:"organisation"`
		Reason       string `json:"reason"`
		Total        int64  `json:"total"`
	} `json:"refusals"`
}

// explainRefusals says why requests of an organisation were refused, at each
// entry.
func (c *Config) explainRefusals(ctx context.Context, organisation string) error {
	a, err := c.askEntries(ctx)
	if err != nil {
		return err
	}
	rows := [][]string{}
	for _, dump := range a.dumps {
		var section refusalSection
		if json.Unmarshal(dump.Sections["refusals"], &section) != nil {
			continue
		}
		for _, r := range section.Refusals {
			if r.Organisation == organisation {
				rows = append(rows, []string{dump.Self.Name, r.Kind, r.Reason, fmt.Sprint(r.Total)})
			}
		}
	}
	if err := c.printRows([]string{"entry", "kind", "reason", "total"}, rows); err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.stdout, a.freshness())
	return err
}
