//go:build !linux

package fabric

import (
	"net"
	"syscall"
)

// receiver reads one datagram at a time, for systems other than Linux.
type receiver struct {
	slots []slot
}

func (r *receiver) init(slots []slot) { r.slots = slots }

// read waits for a datagram and fills the first slot.
func (r *receiver) read(socket *net.UDPConn, _ syscall.RawConn) (int, error) {
	n, from, err := socket.ReadFromUDPAddrPort(r.slots[0].buffer)
	if err != nil {
		return 0, err
	}
	r.slots[0].set(n, from)
	return 1, nil
}
