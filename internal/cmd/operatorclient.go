package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"savorypin/internal/savorypin"
)

// operatorTimeout is the timeout of one call of the operators' API.
const operatorTimeout = 10 * time.Second

// apiObject is an object in the encoding of the operators' API.
type apiObject struct {
	At      string          `json:"at,omitempty"`
	By      string          `json:"by,omitempty"`
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Order   string          `json:"order,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
	Status  json.RawMessage `json:"status,omitempty"`
	Version int64           `json:"version,omitempty"`
}

// clientFlags returns the flags of commands that call the operators' API.
func (c *Config) clientFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Destination: &c.operatorName, Name: "by", Sources: env("OPERATOR"), Value: "operator",
			Usage: "name of the operator who gives the order",
		},
		&cli.StringFlag{
			Destination: &c.baseURL, Name: "entry", Sources: env("ENTRY"), Value: "http://127.0.0.1:8080",
			Usage: "base `URL` of an entry",
		},
		&cli.StringFlag{
			Destination: &c.daemon.OperatorToken, Name: "operator-token", Sources: env("OPERATOR_TOKEN"),
			Usage: "bearer token of the operators; set it through the environment",
		},
		c.outputFlag(),
	}
}

func (c *Config) outputFlag() cli.Flag {
	return &cli.StringFlag{
		Destination: &c.output, Name: "output", Aliases: []string{"o"}, Value: outputTable,
		Usage: "output format: json, table or yaml",
	}
}

// operatorCall calls the operators' API of the daemon at c.baseURL and decodes the
// response into out unless out is nil.
func (c *Config) operatorCall(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return savorypin.Errorf(savorypin.KindInvalid, path, "%w", err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return savorypin.Errorf(savorypin.KindInvalid, "--entry", "%w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.daemon.OperatorToken)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return savorypin.Errorf(savorypin.KindUnreachable, c.baseURL, "%w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return savorypin.Errorf(savorypin.KindUnreachable, c.baseURL, "%w", err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return apiError(c.baseURL, resp.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return savorypin.Errorf(savorypin.KindUnreachable, c.baseURL, "decode response: %w", err)
	}
	return nil
}

// apiError returns the typed error in the body of an error response, or an error of
// KindUnreachable if the body holds none.
func apiError(baseURL string, status int, data []byte) error {
	var body struct {
		Kind    savorypin.ErrorKind `json:"kind"`
		Message string              `json:"message"`
	}
	if json.Unmarshal(data, &body) != nil || body.Kind == "" {
		return savorypin.Errorf(savorypin.KindUnreachable, baseURL, "status %d: %s", status, bytes.TrimSpace(data))
	}
	return &savorypin.Error{Kind: body.Kind, Err: fmt.Errorf("%s", body.Message)}
}
