// Package savorypinwhere holds the questions that operators ask a gateway about a request that they
// don't send, and the answers: where the request would go now, and why.
package savorypinwhere

import (
	"errors"
	"fmt"
	"math"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Path is the path at which a gateway answers questions.
const Path = "/where"

// MaxTokens bounds the numbers of tokens of a request, as for callers.
const MaxTokens = math.MaxInt32

// The parameters of a question.
const (
	paramBodyBytes    = "body-bytes"
	paramDeadline     = "deadline"
	paramHost         = "host"
	paramMethod       = "method"
	paramOrganisation = "organisation"
	paramOutputTokens = "output-tokens"
	paramPart         = "part"
	paramPath         = "path"
	paramPromptTokens = "prompt-tokens"
)

// params are all parameters, sorted.
var params = []string{
	paramBodyBytes, paramDeadline, paramHost, paramMethod, paramOrganisation, paramOutputTokens, paramPart, paramPath, paramPromptTokens,
}

// Query describes a request.
type Query struct {
	BodyBytes int64
	// Deadline is how long the caller waits; zero if it doesn't say.
	Deadline time.Duration
	Host     string
	Method   string
	// Organisation is the name of the caller's organisation; empty for a caller without a key.
	Organisation string
	OutputTokens int
	// Path is the path, with the query if there is one.
	Path         string
	PromptTokens int
	// PromptParts are the IDs of the parts of the prompt. The last one is the ID of the prompt.
	PromptParts []string
}

// Validate returns an error for each field that a request can't have.
func (q Query) Validate() error {
	var errs []error
	check := func(ok bool, field, problem string) {
		if !ok {
			errs = append(errs, fmt.Errorf("%s: %s", field, problem))
		}
	}
	check(q.Host != "", paramHost, "is missing")
	check(strings.HasPrefix(q.Path, "/"), paramPath, "doesn't begin with a slash")
	check(q.Method != "", paramMethod, "is missing")
	check(q.PromptTokens >= 0 && q.PromptTokens <= MaxTokens, paramPromptTokens, "is out of bounds")
	check(q.OutputTokens >= 0 && q.OutputTokens <= MaxTokens, paramOutputTokens, "is out of bounds")
	check(q.BodyBytes >= 0, paramBodyBytes, "is negative")
	check(q.Deadline >= 0, paramDeadline, "is negative")
	return errors.Join(errs...)
}

// Values returns the query as the parameters of a URL.
func (q Query) Values() url.Values {
	v := url.Values{
		paramBodyBytes:    {strconv.FormatInt(q.BodyBytes, 10)},
		paramDeadline:     {q.Deadline.String()},
		paramHost:         {q.Host},
		paramMethod:       {q.Method},
		paramOrganisation: {q.Organisation},
		paramOutputTokens: {strconv.Itoa(q.OutputTokens)},
		paramPath:         {q.Path},
		paramPromptTokens: {strconv.Itoa(q.PromptTokens)},
	}
	if len(q.PromptParts) > 0 {
		v[paramPart] = q.PromptParts
	}
	return v
}

// ParseQuery returns the query that the parameters of a URL hold. Parameters that it doesn't know are
// an error, as the command may be newer than the gateway.
func ParseQuery(v url.Values) (Query, error) {
	q := Query{
		Host: v.Get(paramHost), Method: v.Get(paramMethod), Organisation: v.Get(paramOrganisation), Path: v.Get(paramPath),
		PromptParts: v[paramPart],
	}
	var errs []error
	for name := range v {
		if !slices.Contains(params, name) {
			errs = append(errs, fmt.Errorf("%s: is unknown", name))
		}
	}
	parse := func(name string, set func(string) error) {
		if v.Has(name) && set(v.Get(name)) != nil {
			errs = append(errs, fmt.Errorf("%s: %q is malformed", name, v.Get(name)))
		}
	}
	parse(paramBodyBytes, func(s string) (err error) { q.BodyBytes, err = strconv.ParseInt(s, 10, 64); return err })
	parse(paramDeadline, func(s string) (err error) { q.Deadline, err = time.ParseDuration(s); return err })
	parse(paramOutputTokens, func(s string) (err error) { q.OutputTokens, err = strconv.Atoi(s); return err })
	parse(paramPromptTokens, func(s string) (err error) { q.PromptTokens, err = strconv.Atoi(s); return err })
	errs = append(errs, q.Validate())
	return q, errors.Join(errs...)
}
