// Package experiment simulates entry VMs with their targets, links, clients and router in
// virtual time, around the engine that daemons run. It compares balancing policies under
// patterns of load and faults. It uses no network, and a seed always gives the same results.
//
// The simulation covers what decisions depend on: when each target answers, and what an
// entry VM observes of that. It models neither bytes, processor time nor the store; instead,
// changes of targets reach each VM after a lag.
package experiment
