package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
	"sigs.k8s.io/yaml"

	"savorypin/internal/savorypin"
)

// Timeout of apply --wait, and the interval at which it and the wait statement
// poll the entry.
const (
	applyWaitTimeout = 30 * time.Second
	pollInterval     = 500 * time.Millisecond
)

func (c *Config) applyCmd() *cli.Command {
	return &cli.Command{
		Action: c.runApplyCmd,
		Description: "Reads YAML files of objects, separated by ---, checks all of them and applies them in order.\n" +
			"Nothing is applied unless every object is valid.",
		Flags: append(
			c.clientFlags(),
			&cli.BoolFlag{Destination: &c.dryRun, Name: "dry-run", Usage: "only check the objects"},
			&cli.StringSliceFlag{
				Destination: &c.files, Name: "file", Aliases: []string{"f"}, Required: true,
				Usage: "YAML `FILE` of objects, or - for standard input; may be repeated",
			},
			&cli.BoolFlag{Destination: &c.wait, Name: "wait", Usage: "wait until the objects are in force everywhere"},
		),
		Name:  "apply",
		Usage: "create or replace objects from YAML files",
	}
}

func (c *Config) runApplyCmd(ctx context.Context, _ *cli.Command) error {
	var objects []apiObject
	var errs []error
	for _, file := range c.files {
		read, err := readObjects(file)
		objects = append(objects, read...)
		errs = append(errs, err)
	}
	if err := errors.Join(errs...); err != nil {
		return savorypin.Errorf(savorypin.KindInvalid, "", "%w", err)
	}
	for _, o := range objects {
		if err := c.applyObject(ctx, o); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) applyObject(ctx context.Context, o apiObject) error {
	o.By = c.operatorName
	o.Order = uuid.NewString()
	var written apiObject
	path := "/operator/v1/objects"
	if c.dryRun {
		path += "?dry_run=true"
	}
	if err := c.operatorCall(ctx, http.MethodPost, path, o, &written); err != nil {
		return err
	}
	if c.dryRun {
		fmt.Fprintf(c.stdout, "%s/%s is valid\n", o.Kind, o.Name)
		return nil
	}
	fmt.Fprintf(c.stdout, "%s/%s applied at version %d\n", o.Kind, o.Name, written.Version)
	if c.wait {
		return c.waitInForce(ctx, written)
	}
	return nil
}

// inForceReport is the API's response about the members that have a version of an
// object in force.
type inForceReport struct {
	InForce     int      `json:"in_force"`
	Lagging     []string `json:"lagging"`
	Members     int      `json:"members"`
	Unreachable []string `json:"unreachable"`
}

func (c *Config) waitInForce(ctx context.Context, o apiObject) error {
	deadline := time.Now().Add(applyWaitTimeout)
	for {
		var report inForceReport
		path := fmt.Sprintf("/operator/v1/force/%s/%s/%d", o.Kind, o.Name, o.Version)
		if err := c.operatorCall(ctx, http.MethodGet, path, nil, &report); err != nil {
			return err
		}
		done := report.InForce == report.Members
		if done || time.Now().After(deadline) {
			fmt.Fprintf(c.stdout, "%s/%s in force on %d of %d\n", o.Kind, o.Name, report.InForce, report.Members)
		}
		if done {
			return nil
		}
		if time.Now().After(deadline) {
			return savorypin.Errorf(savorypin.KindUnreachable, o.Kind+"/"+o.Name,
				"lagging: %v; unreachable: %v", report.Lagging, report.Unreachable)
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// readObjects reads and checks the objects of a file. Its error names the file, the
// number of the YAML document in it and the bad field, for each bad object.
func readObjects(file string) ([]apiObject, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	var objects []apiObject
	var errs []error
	for i, part := range bytes.Split(data, []byte("\n---")) {
		if len(bytes.TrimSpace(bytes.TrimPrefix(part, []byte("---")))) == 0 {
			continue
		}
		o, err := readObject(part)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: object %d: %w", file, i+1, err))
			continue
		}
		objects = append(objects, o)
	}
	return objects, errors.Join(errs...)
}

func readFile(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

func readObject(data []byte) (apiObject, error) {
	raw, err := yaml.YAMLToJSONStrict(data)
	if err != nil {
		return apiObject{}, err
	}
	o, err := savorypin.DecodeStrict[apiObject](raw)
	if err != nil {
		return o, err
	}
	return o, savorypin.CheckObject(savorypin.Object{
		Key:  savorypin.Key{Kind: savorypin.Kind(o.Kind), Name: o.Name},
		Spec: o.Spec,
	})
}

// marshalIndent returns v as indented JSON.
func marshalIndent(v any) ([]byte, error) {
	return json.MarshalIndent(v, "", "  ")
}
