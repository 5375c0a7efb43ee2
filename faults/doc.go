// Package faults tests and benchmarks how a fleet of entry VMs behaves when something
// fails. All its code is in test files: a simulation runs Nodes with their membership and
// placement on an in-memory network in virtual time, with fakes for clients, targets and
// the platform. An oracle checks the guarantees of the product.
package faults
