//go:build !linux

package fabric

// spreadByFlow leaves the choice of the socket to the kernel.
func (u *UDP) spreadByFlow(int) {}
