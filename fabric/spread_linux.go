package fabric

import (
	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// Offsets in bytes. Those in the inner packet apply to headers without options.
const (
	geneveHeader = 8
	// optionUnits is the mask of the length of the options, which counts 4 bytes each.
	optionUnits = 0x3f
	source4     = 12
	ports4      = 20
	source6     = 20 // the last four bytes of the address
	ports6      = 40
)

// multiplier spreads the bits of a hash (2^32 over the golden ratio).
const multiplier = 0x9e3779b1

// spreadByFlow makes the kernel choose the socket of a datagram by the inner packet. By
// its own choice, the outer addresses and ports, all datagrams of one sender would go to
// one worker. Where the kernel refuses the program, its own choice stays.
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

// flowHash is a program over the UDP payload that returns the number of a socket, from
// the source address and the ports of the inner packet. A datagram that is too short
// goes to the first.
func flowHash(workers uint32) []bpf.Instruction {
	return []bpf.Instruction{
		// X is where the inner packet starts, less the fixed header.
		bpf.LoadAbsolute{Off: 0, Size: 1},
		bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: optionUnits},
		bpf.ALUOpConstant{Op: bpf.ALUOpMul, Val: 4},
		bpf.TAX{},
		bpf.LoadIndirect{Off: geneveHeader, Size: 1},
		bpf.ALUOpConstant{Op: bpf.ALUOpShiftRight, Val: 4},
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: 6, SkipTrue: 4},
		bpf.LoadIndirect{Off: geneveHeader + source4, Size: 4},
		bpf.StoreScratch{Src: bpf.RegA, N: 0},
		bpf.LoadIndirect{Off: geneveHeader + ports4, Size: 4},
		bpf.Jump{Skip: 3},
		bpf.LoadIndirect{Off: geneveHeader + source6, Size: 4},
		bpf.StoreScratch{Src: bpf.RegA, N: 0},
		bpf.LoadIndirect{Off: geneveHeader + ports6, Size: 4},
		bpf.LoadScratch{Dst: bpf.RegX, N: 0},
		bpf.ALUOpX{Op: bpf.ALUOpXor},
		bpf.ALUOpConstant{Op: bpf.ALUOpMul, Val: multiplier},
		bpf.ALUOpConstant{Op: bpf.ALUOpShiftRight, Val: 16},
		bpf.ALUOpConstant{Op: bpf.ALUOpMod, Val: workers},
		bpf.RetA{},
	}
}
