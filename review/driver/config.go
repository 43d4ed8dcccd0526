package main

import (
	"fmt"
	"strings"
)

// configuration returns a configuration with the given keys of one tenant. Its routes are those of a
// shop's ledger and of an assistant.
func configuration(version int, keys ...string) string {
	quoted := make([]string, 0, len(keys))
	for _, key := range keys {
		quoted = append(quoted, fmt.Sprintf("%q", key))
	}
	return fmt.Sprintf(`{"version":%d,"tenants":[{"name":"huka270","api_keys":[%s]}],"routes":[
  {"name":"look","host":"ledger.example","path_prefix":"/look/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,
   "service":"ledger","max_attempts":2,"priority":2},
  {"name":"sale","host":"ledger.example","path_prefix":"/sale/","kind":"unsafe","timeout_ms":2000,"target_latency_ms":300,
   "service":"ledger","max_attempts":2,"priority":2},
  {"name":"plan","host":"ledger.example","path_prefix":"/plan/","kind":"streaming","timeout_ms":25000,"target_latency_ms":4500,
   "target_gap_ms":700,"service":"model","max_attempts":5,"priority":1,"resumable":true,"sticky":true}],
 "services":[{"name":"ledger","health_path":"/health"},
  {"name":"model","health_path":"/health","engine":{"slots":48,"kv_capacity":88000,"backups":true}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, strings.Join(quoted, ","))
}
