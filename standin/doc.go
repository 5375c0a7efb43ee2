// Package standin provides minimal stand-ins for the systems around the entry VMs: the
// platform's service, the packet-spraying fabric and the targets. The demo and tests use them,
// and operators can run them from the command line.
package standin
