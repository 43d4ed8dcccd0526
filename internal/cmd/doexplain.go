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

// explain prints the reasons of a decision.
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
	report, err := c.queryEntry(ctx)
	if err != nil {
		return err
	}
	o, err := report.findObject(savorypin.KindMove, name)
	if err != nil {
		return err
	}
	var spec savorypin.MoveSpec
	if err := json.Unmarshal(o.Spec, &spec); err != nil {
		return savorypin.Errorf(savorypin.KindInvalid, o.String(), "%w", err)
	}
	status, err := report.moveStatus(name)
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
		{"answer", report.freshness()},
	})
}

// explainShare prints the share of new work of each version of a service, and the
// service's moves, which set the shares.
func (c *Config) explainShare(ctx context.Context, service string) error {
	report, err := c.queryEntry(ctx)
	if err != nil {
		return err
	}
	if _, err := report.findObject(savorypin.KindService, service); err != nil {
		return err
	}
	store := savorypinconfig.NewStore()
	store.Apply(report.source.Objects...)
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

// refusalsSection is the section of refusals in the state dump of an entry.
type refusalsSection struct {
	Refusals []struct {
		Kind         string `json:"kind"`
		Organisation string `json:"organisation"`
		Reason       string `json:"reason"`
		Total        int64  `json:"total"`
	} `json:"refusals"`
}

// explainRefusals prints how many requests of an organisation each entry refused, by kind
// and object of the error, with the reason of the last refusal. It skips entries whose
// dump has no readable refusals section.
func (c *Config) explainRefusals(ctx context.Context, organisation string) error {
	report, err := c.queryAllEntries(ctx)
	if err != nil {
		return err
	}
	rows := [][]string{}
	for _, dump := range report.dumps {
		var section refusalsSection
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
	_, err = fmt.Fprintln(c.stdout, report.freshness())
	return err
}
