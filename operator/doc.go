// Package operator answers the people who run the daemons: status, flows, explanations
// and the audit trail as JSON over HTTP, and metrics in the Prometheus text format. It
// only answers; nothing can be changed through it.
package operator
