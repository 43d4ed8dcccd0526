package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/urfave/cli/v3"

	"savorypin/internal/savorypin"
)

func (c *Config) moveCmd() *cli.Command {
	return &cli.Command{
		Commands: []*cli.Command{
			c.moveActionCmd("go", "let a move go on that is held", savorypin.MoveGo),
			c.moveActionCmd("hold", "keep the share of a move where it is", savorypin.MoveHold),
			{
				Action: c.runMoveListCmd, Flags: c.clientFlags(), Name: "list",
				Usage: "show all moves with their state and share",
			},
			c.moveActionCmd("rollback", "take the traffic of a move back for good", savorypin.MoveRollback),
			{
				Action: c.runMoveShowCmd, ArgsUsage: "MOVE", Flags: c.clientFlags(), Name: "show",
				Usage: "show a move with its evidence, reason and times",
			},
			c.moveSpeedUpCmd(),
		},
		Name:  "move",
		Usage: "show and control moves of traffic between versions",
	}
}

func (c *Config) moveActionCmd(name, usage string, action savorypin.MoveAction) *cli.Command {
	return &cli.Command{
		Action: func(ctx context.Context, cmd *cli.Command) error {
			key, err := moveKey(cmd)
			if err != nil {
				return err
			}
			return c.orderMoveAction(ctx, key.Name, action)
		},
		ArgsUsage: "MOVE",
		Flags:     c.clientFlags(),
		Name:      name,
		Usage:     usage,
	}
}

func (c *Config) moveSpeedUpCmd() *cli.Command {
	return &cli.Command{
		Action:    c.runMoveSpeedUpCmd,
		ArgsUsage: "MOVE",
		Description: "--in sets an earlier deadline, but the move still advances only as far as the evidence allows. --share gives\n" +
			"the new version at least this share at once, even if there is little evidence. In either case the traffic\n" +
			"returns to the old version if the new one is worse.",
		Flags: append(
			c.clientFlags(),
			&cli.DurationFlag{Name: "in", Usage: "time from now to the new deadline"},
			&cli.FloatFlag{Name: "share", Usage: "minimum share of the new version, 0 to 1"},
		),
		Name:  "speed-up",
		Usage: "finish a move sooner",
	}
}

func (c *Config) runMoveSpeedUpCmd(ctx context.Context, cmd *cli.Command) error {
	key, err := moveKey(cmd)
	if err != nil {
		return err
	}
	in, share := cmd.Duration("in"), cmd.Float("share")
	if in <= 0 && share <= 0 {
		return savorypin.Errorf(savorypin.KindInvalid, key.String(), "--in or --share must be set and above 0")
	}
	return editObject(ctx, c, key, func(spec *savorypin.MoveSpec) error {
		by := time.Now().Add(in).UTC().Truncate(time.Second)
		if in > 0 && !by.Before(spec.By) {
			return savorypin.Errorf(savorypin.KindInvalid, key.String(), "move is already due by %s", spec.By.Format(time.RFC3339))
		}
		if in > 0 {
			spec.By = by
		}
		spec.MinShare = max(spec.MinShare, share)
		return nil
	})
}

func moveKey(cmd *cli.Command) (savorypin.Key, error) {
	key := savorypin.Key{Kind: savorypin.KindMove, Name: cmd.Args().First()}
	if err := savorypin.CheckName(key.Name); err != nil {
		return key, savorypin.Errorf(savorypin.KindInvalid, "MOVE", "%w", err)
	}
	return key, nil
}

// moveView is a move in the form that the commands print.
type moveView struct {
	Name   string               `json:"name"`
	Spec   savorypin.MoveSpec   `json:"spec"`
	Status savorypin.MoveStatus `json:"status"`
}

// getMoves returns the moves in force at the entry, sorted by name. If name is not
// empty, it returns only the move of that name.
func (c *Config) getMoves(ctx context.Context, name string) ([]moveView, error) {
	query := url.Values{"kind": {string(savorypin.KindMove)}, "name": {name}}
	var objects []apiObject
	if err := c.operatorCall(ctx, http.MethodGet, "/operator/v1/objects?"+query.Encode(), nil, &objects); err != nil {
		return nil, err
	}
	var views []moveView
	for _, o := range objects {
		view := moveView{Name: o.Name, Status: savorypin.MoveStatus{State: savorypin.MovePending}}
		if err := json.Unmarshal(o.Spec, &view.Spec); err != nil {
			return nil, savorypin.Errorf(savorypin.KindUnreachable, "moves/"+o.Name, "decode spec: %w", err)
		}
		if len(o.Status) > 0 {
			if err := json.Unmarshal(o.Status, &view.Status); err != nil {
				return nil, savorypin.Errorf(savorypin.KindUnreachable, "moves/"+o.Name, "decode status: %w", err)
			}
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b moveView) int { return strings.Compare(a.Name, b.Name) })
	return views, nil
}

func (c *Config) runMoveListCmd(ctx context.Context, _ *cli.Command) error {
	views, err := c.getMoves(ctx, "")
	if err != nil {
		return err
	}
	if c.output != "table" {
		return c.printData(views)
	}
	table := tablewriter.NewWriter(c.stdout)
	table.Header("name", "service", "from", "to", "state", "share", "by", "reason")
	for _, v := range views {
		row := []string{
			v.Name, v.Spec.Service, v.Spec.From, v.Spec.To, string(v.Status.State),
			formatPercent(v.Status.Share), formatTime(v.Spec.By), v.Status.Reason,
		}
		if err := table.Append(row); err != nil {
			return err
		}
	}
	return table.Render()
}

func (c *Config) runMoveShowCmd(ctx context.Context, cmd *cli.Command) error {
	key, err := moveKey(cmd)
	if err != nil {
		return err
	}
	views, err := c.getMoves(ctx, key.Name)
	if err != nil {
		return err
	}
	if len(views) == 0 {
		return savorypin.Errorf(savorypin.KindNotFound, key.String(), "no such move")
	}
	if c.output != "table" {
		return c.printData(views[0])
	}
	v := views[0]
	for _, line := range [][2]string{
		{"move", v.Name},
		{"service", v.Spec.Service},
		{"from", v.Spec.From},
		{"to", v.Spec.To},
		{"state", string(v.Status.State)},
		{"since", formatTime(v.Status.At)},
		{"share", formatPercent(v.Status.Share)},
		{"begun", formatTime(v.Status.Begun)},
		{"by", formatTime(v.Spec.By)},
		{"action", string(v.Spec.Action)},
		{"reason", v.Status.Reason},
		{"requests", strconv.Itoa(v.Status.Requests)},
		{"evidence", v.Status.Evidence},
	} {
		fmt.Fprintf(c.stdout, "%-9s %s\n", line[0], line[1])
	}
	return nil
}

func formatPercent(share float64) string {
	return strconv.FormatFloat(100*share, 'f', -1, 64) + " %"
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}
