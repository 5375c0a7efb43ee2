// Package operator implements the HTTP endpoint of a daemon for operators, and clients for
// it. The endpoint returns status, flows, explanations and the audit trail as JSON, and
// metrics in the Prometheus text format. It is read-only.
package operator
