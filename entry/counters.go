package entry

import (
	"sync/atomic"

	"github.com/almondflow/almondflow/result"
)

// maxCode is above every result code of a packet.
const maxCode = 256

// counters are totals since the start of the daemon, updated by all goroutines.
type counters struct {
	// controlBytes went to other entry VMs without a packet of a client or target.
	controlBytes atomic.Uint64
	// codes count packets by the code that their decision ended in.
	codes [maxCode]atomic.Uint64
}

func (d *Daemon) count(code result.Code) {
	d.counters.codes[code%maxCode].Add(1)
}

// results returns how many packets ended in each code.
func (d *Daemon) results() map[result.Code]uint64 {
	results := make(map[result.Code]uint64)
	for _, e := range result.All() {
		if e.Code() >= result.Forwarded {
			results[e.Code()] = d.counters.codes[e.Code()%maxCode].Load()
		}
	}
	return results
}
