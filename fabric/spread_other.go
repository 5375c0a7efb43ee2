//go:build !linux

package fabric

// spreadByFlow does nothing, so that the kernel chooses the socket of a datagram.
func (u *UDP) spreadByFlow(int) {}
