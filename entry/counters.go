package entry

import (
	"sync/atomic"

	"github.com/almondflow/almondflow/result"
)

// codeCount is greater than every result code of a packet.
const codeCount = 256

// counters holds totals since the start of the daemon. All goroutines update them.
type counters struct {
	// controlBytes is the number of bytes of messages to other entry VMs that carried no
	// packet of a client or target.
	controlBytes atomic.Uint64
	// packets is the number of packets by result code.
	packets [codeCount]atomic.Uint64
}

// countPacket counts a packet with its result code.
func (d *Daemon) countPacket(code result.Code) {
	d.counters.packets[code%codeCount].Add(1)
}

// resultCounts returns the number of packets for each result code.
func (d *Daemon) resultCounts() map[result.Code]uint64 {
	results := make(map[result.Code]uint64)
	for _, e := range result.All() {
		if e.Code() >= result.Forwarded {
			results[e.Code()] = d.counters.packets[e.Code()%codeCount].Load()
		}
	}
	return results
}
