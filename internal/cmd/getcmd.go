package cmd

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/olekukonko/tablewriter"
	"github.com/urfave/cli/v3"
	"sigs.k8s.io/yaml"

	"savorypin/internal/savorypin"
)

func (c *Config) getCmd() *cli.Command {
	return &cli.Command{
		Action:    c.runGetCmd,
		ArgsUsage: "[KIND [NAME]]",
		Flags:     c.clientFlags(),
		Name:      "get",
		Usage:     "show the objects in force at an entry",
	}
}

func (c *Config) runGetCmd(ctx context.Context, cmd *cli.Command) error {
	query := url.Values{}
	query.Set("kind", cmd.Args().Get(0))
	query.Set("name", cmd.Args().Get(1))
	var objects []apiObject
	if err := c.operatorCall(ctx, http.MethodGet, "/operator/v1/objects?"+query.Encode(), nil, &objects); err != nil {
		return err
	}
	if len(objects) == 0 && cmd.Args().Get(1) != "" {
		return savorypin.Errorf(savorypin.KindNotFound, cmd.Args().Get(0)+"/"+cmd.Args().Get(1), "no such object")
	}
	slices.SortFunc(objects, func(a, b apiObject) int {
		return strings.Compare(a.Kind+"/"+a.Name, b.Kind+"/"+b.Name)
	})
	return c.printObjects(objects)
}

func (c *Config) printObjects(objects []apiObject) error {
	switch c.output {
	case "json", "yaml":
		return c.printData(objects)
	case outputTable:
		var rows [][]string
		for _, o := range objects {
			rows = append(rows, []string{
				o.Kind, o.Name, strconv.FormatInt(o.Version, 10), o.By, o.At, string(o.Spec), string(o.Status),
			})
		}
		return c.printRows([]string{"kind", "name", "version", "by", "at", "spec", "status"}, rows)
	default:
		return savorypin.Errorf(savorypin.KindInvalid, "--output", "%q is not json, table or yaml", c.output)
	}
}

// outputTable is the value of --output for human-readable tables.
const outputTable = "table"

// printRows prints rows as a table.
func (c *Config) printRows(columns []string, rows [][]string) error {
	table := tablewriter.NewWriter(c.stdout)
	table.Header(columns)
	if err := table.Bulk(rows); err != nil {
		return err
	}
	return table.Render()
}

// printData prints v as YAML if --output is yaml, otherwise as JSON.
func (c *Config) printData(v any) error {
	data, err := marshalIndent(v)
	if err != nil {
		return err
	}
	if c.output == "yaml" {
		data, err = yaml.JSONToYAML(data)
		if err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(c.stdout, string(data))
	return err
}
