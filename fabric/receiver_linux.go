package fabric

import (
	"encoding/binary"
	"net"
	"net/netip"
	"os"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// receiver reads a batch with the system call recvmmsg. ReadBatch of golang.org/x/net does
// the same, but allocates twice for the address of each datagram.
type receiver struct {
	slots     []slot
	headers   []messageHeader
	iovecs    []unix.Iovec
	addresses []unix.RawSockaddrInet6
	// receiveFunc is the method receive, stored so that reads do not allocate a method value.
	receiveFunc func(fd uintptr) bool
	// count and errno are the results of the last call of receive.
	count int
	errno syscall.Errno
}

// messageHeader is the kernel's struct mmsghdr.
type messageHeader struct {
	header unix.Msghdr
	length uint32
}

func (r *receiver) init(slots []slot) {
	r.slots = slots
	r.headers = make([]messageHeader, len(slots))
	r.iovecs = make([]unix.Iovec, len(slots))
	r.addresses = make([]unix.RawSockaddrInet6, len(slots))
	r.receiveFunc = r.receive
	for i := range slots {
		r.iovecs[i].Base = unsafe.SliceData(slots[i].buffer) //nolint:gosec // the kernel writes the datagram here
		r.iovecs[i].SetLen(len(slots[i].buffer))
		h := &r.headers[i].header
		h.Iov = &r.iovecs[i]
		h.SetIovlen(1)
		h.Name = (*byte)(unsafe.Pointer(&r.addresses[i])) //nolint:gosec // the kernel writes the address here
	}
}

// read waits for datagrams, fills the slots and returns how many it filled.
func (r *receiver) read(_ *net.UDPConn, raw syscall.RawConn) (int, error) {
	for i := range r.headers {
		r.headers[i].header.Namelen = unix.SizeofSockaddrInet6
	}
	if err := raw.Read(r.receiveFunc); err != nil {
		return 0, err
	}
	if r.errno != 0 {
		return 0, os.NewSyscallError("recvmmsg", r.errno)
	}
	for i := range r.count {
		h := &r.headers[i]
		r.slots[i].set(int(h.length), addressOf(&r.addresses[i]))
		r.slots[i].isTruncated = h.header.Flags&unix.MSG_TRUNC != 0
	}
	return r.count, nil
}

// receive calls recvmmsg. It returns false if no datagram is available, as RawConn.Read
// expects. The results are in count and errno.
func (r *receiver) receive(fd uintptr) bool {
	for {
		n, _, errno := unix.Syscall6(unix.SYS_RECVMMSG, fd,
			uintptr(unsafe.Pointer(unsafe.SliceData(r.headers))), //nolint:gosec // the kernel fills the slots
			uintptr(len(r.headers)), 0, 0, 0)
		if errno == unix.EINTR {
			continue
		}
		r.count, r.errno = int(n), errno
		return errno != unix.EAGAIN
	}
}

// addressOf converts a socket address of the kernel. An IPv4 address is at the offset at
// which an IPv6 address has its flow label.
func addressOf(address *unix.RawSockaddrInet6) netip.AddrPort {
	var port [2]byte
	binary.NativeEndian.PutUint16(port[:], address.Port)
	if address.Family == unix.AF_INET {
		var a [4]byte
		binary.NativeEndian.PutUint32(a[:], address.Flowinfo)
		return netip.AddrPortFrom(netip.AddrFrom4(a), binary.BigEndian.Uint16(port[:]))
	}
	return netip.AddrPortFrom(netip.AddrFrom16(address.Addr).Unmap(), binary.BigEndian.Uint16(port[:]))
}
