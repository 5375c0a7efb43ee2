package fabric

import (
	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// Sizes and offsets in bytes. The offsets are relative to the start of the inner packet.
// Those of the ports apply to IP headers without options or extension headers.
const (
	geneveHeaderSize = 8
	// optionLengthMask selects the length of the Geneve options, in units of 4 bytes.
	optionLengthMask = 0x3f
	ip4SourceOffset  = 12
	ip4PortsOffset   = 20
	ip6SourceOffset  = 20 // the last four bytes of the address
	ip6PortsOffset   = 40
)

// hashMultiplier distributes the bits of a hash. It is 2^32 divided by the golden ratio.
const hashMultiplier = 0x9e3779b1

// spreadByFlow attaches a BPF program that makes the kernel choose the socket of a datagram
// by the flow of the inner packet. By default the kernel chooses by the outer addresses and
// ports, so that all datagrams of one sender would go to one worker. If the kernel rejects
// the program, its default remains.
func (u *UDP) spreadByFlow(workers int) {
	program, err := bpf.Assemble(flowHash(uint32(workers)))
	if err != nil {
		return
	}
	filters := make([]unix.SockFilter, len(program))
	for i, p := range program {
		filters[i] = unix.SockFilter{Code: p.Op, Jt: p.Jt, Jf: p.Jf, K: p.K}
	}
	fprog := unix.SockFprog{Len: uint16(len(filters)), Filter: &filters[0]}
	_ = u.raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &fprog)
	})
}

// flowHash returns a BPF program that maps the UDP payload to the index of a socket, by a
// hash of the source address and the ports of the inner packet. Datagrams that are too short
// go to the first socket.
func flowHash(workers uint32) []bpf.Instruction {
	return []bpf.Instruction{
		// X is the length of the Geneve options. The inner packet starts at geneveHeaderSize + X.
		bpf.LoadAbsolute{Off: 0, Size: 1},
		bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: optionLengthMask},
		bpf.ALUOpConstant{Op: bpf.ALUOpMul, Val: 4},
		bpf.TAX{},
		bpf.LoadIndirect{Off: geneveHeaderSize, Size: 1},
		bpf.ALUOpConstant{Op: bpf.ALUOpShiftRight, Val: 4},
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: 6, SkipTrue: 4},
		bpf.LoadIndirect{Off: geneveHeaderSize + ip4SourceOffset, Size: 4},
		bpf.StoreScratch{Src: bpf.RegA, N: 0},
		bpf.LoadIndirect{Off: geneveHeaderSize + ip4PortsOffset, Size: 4},
		bpf.Jump{Skip: 3},
		bpf.LoadIndirect{Off: geneveHeaderSize + ip6SourceOffset, Size: 4},
		bpf.StoreScratch{Src: bpf.RegA, N: 0},
		bpf.LoadIndirect{Off: geneveHeaderSize + ip6PortsOffset, Size: 4},
		bpf.LoadScratch{Dst: bpf.RegX, N: 0},
		bpf.ALUOpX{Op: bpf.ALUOpXor},
		bpf.ALUOpConstant{Op: bpf.ALUOpMul, Val: hashMultiplier},
		bpf.ALUOpConstant{Op: bpf.ALUOpShiftRight, Val: 16},
		bpf.ALUOpConstant{Op: bpf.ALUOpMod, Val: workers},
		bpf.RetA{},
	}
}
