package main

import (
	"bytes"
	"embed"
	"fmt"
	"text/template"
)

// headerPrefix begins the names of the platform's own headers.
const headerPrefix = "Savorypin-"

// Headers of the platform.
const (
	headerRequestID       = headerPrefix + "Request-Id"
	headerDeadline        = headerPrefix + "Request-Deadline"
	headerExpectedReplica = headerPrefix + "Expected-Replica"
	headerModel           = headerPrefix + "Model"
	headerNotExecuted     = headerPrefix + "Not-Executed"
	headerPrefixParts     = headerPrefix + "Prompt-Prefix"
	headerReplicaID       = headerPrefix + "Replica-Id"
	headerSignature       = headerPrefix + "Replica-Signature"
	headerTenant          = headerPrefix + "Tenant"
	headerTokenUsage      = headerPrefix + "Token-Usage"
	headerWeights         = headerPrefix + "Weight-Versions"
)

// wireFiles are the platform's documents, in the platform's names. They are files of their own, as a
// spec of the project keeps these names out of all Go files but those of the adapter.
//
//go:embed wire
var wireFiles embed.FS

// wire are the templates of these documents.
var wire = template.Must(template.ParseFS(wireFiles, "wire/*.tmpl"))

// render returns a document.
func render(name string, values any) []byte {
	var b bytes.Buffer
	if err := wire.ExecuteTemplate(&b, name, values); err != nil {
		// The templates are part of the program.
		panic(fmt.Sprintf("render %s: %v", name, err))
	}
	return b.Bytes()
}
