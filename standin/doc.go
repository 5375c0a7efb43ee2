// Package standin holds small stand-ins for the systems round the entry VMs: the
// platform's service, the packet-spraying fabric and the targets. The demo and tests
// use them, and they can be started by hand.
package standin
