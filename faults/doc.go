// Package faults holds the tests and benchmarks of what many entry VMs do together when
// something fails. Its code is in test files only: Nodes with their membership and
// placement on an in-memory network in virtual time, small fakes for clients, targets and
// the platform, and an oracle that holds the promises of the product.
package faults
