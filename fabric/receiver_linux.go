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

// receiver reads a batch by recvmmsg. The ReadBatch of golang.org/x/net does the same
// but allocates twice for the address of each datagram.
type receiver struct {
	slots   []slot
	headers []messageHeader
	vectors []unix.Iovec
	names   []unix.RawSockaddrInet6
	call    func(fd uintptr) bool
	count   int
	errno   syscall.Errno
}

// messageHeader is struct mmsghdr of the kernel.
type messageHeader struct {
	header unix.Msghdr
	length uint32
}

func (r *receiver) init(slots []slot) {
	r.slots = slots
	r.headers = make([]messageHeader, len(slots))
	r.vectors = make([]unix.Iovec, len(slots))
	r.names = make([]unix.RawSockaddrInet6, len(slots))
	r.call = r.receive
	for i := range slots {
		r.vectors[i].Base = unsafe.SliceData(slots[i].buffer) //nolint:gosec // the kernel writes the datagram here
		r.vectors[i].SetLen(len(slots[i].buffer))
		h := &r.headers[i].header
		h.Iov = &r.vectors[i]
		h.SetIovlen(1)
		h.Name = (*byte)(unsafe.Pointer(&r.names[i])) //nolint:gosec // the kernel writes the address here
	}
}

// read fills the slots and returns how many it filled.
func (r *receiver) read(_ *net.UDPConn, raw syscall.RawConn) (int, error) {
	for i := range r.headers {
		r.headers[i].header.Namelen = unix.SizeofSockaddrInet6
	}
	if err := raw.Read(r.call); err != nil {
		return 0, err
	}
	if r.errno != 0 {
		return 0, os.NewSyscallError("recvmmsg", r.errno)
	}
	for i := range r.count {
		h := &r.headers[i]
		r.slots[i].set(int(h.length), addressOf(&r.names[i]))
		r.slots[i].isCut = h.header.Flags&unix.MSG_TRUNC != 0
	}
	return r.count, nil
}

// receive makes one system call and reports false when it has to wait for datagrams.
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

// addressOf converts the kernel's form, in which an IPv4 address stands where an IPv6
// address has its flow label.
func addressOf(name *unix.RawSockaddrInet6) netip.AddrPort {
	var port [2]byte
	binary.NativeEndian.PutUint16(port[:], name.Port)
	if name.Family == unix.AF_INET {
		var a [4]byte
		binary.NativeEndian.PutUint32(a[:], name.Flowinfo)
		return netip.AddrPortFrom(netip.AddrFrom4(a), binary.BigEndian.Uint16(port[:]))
	}
	return netip.AddrPortFrom(netip.AddrFrom16(name.Addr).Unmap(), binary.BigEndian.Uint16(port[:]))
}
