// Package inband decides what happens to packets of flows whose state travels in the packets
// themselves: each packet of a client carries the tag of its flow's target, so any entry VM can
// forward it without asking another. An entry VM sees only the packets from client to target;
// targets answer clients directly.
//
// The engine is a state machine: it takes the current time and an event and returns a verdict.
// It uses no sockets, clocks, goroutines or global random numbers.
package inband
