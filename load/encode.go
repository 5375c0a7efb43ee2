package load

import (
	"encoding/binary"

	"github.com/almondflow/almondflow/clock"
)

// Units of the numbers in an encoded report.
const (
	busyUnit     = 0.01 // requests
	finishedUnit = 0.1  // requests per second
	flowsUnit    = 1.0  // flows
	ageUnit      = 10 * clock.Millisecond
)

// maxUnits limits each number of an encoded report.
const maxUnits = 1 << 30

// Encode encodes a report in at most the given number of bytes. What does not fit is left out: sums of
// pools take three quarters of the room at most, and the targets with the least work come last.
func Encode(r *Report, maxBytes int) []byte {
	data := make([]byte, 0, maxBytes)
	data = appendLimited(data, r.Pools, maxBytes/2, appendPoolNews)
	data = appendLimited(data, r.Remote, maxBytes/4, appendPoolWork)
	for i := range r.Targets {
		next := appendTargetWork(data, &r.Targets[i])
		if len(next) > maxBytes {
			break
		}
		data = next
	}
	return data
}

// appendLimited appends as many items as fit into a number of bytes, and before them how many they are.
func appendLimited[T any](data []byte, items []T, maxBytes int, appendItem func([]byte, *T) []byte) []byte {
	var encoded []byte
	count := 0
	for i := range items {
		next := appendItem(encoded, &items[i])
		if len(next)+binary.MaxVarintLen16 > maxBytes {
			break
		}
		encoded, count = next, count+1
	}
	data = binary.AppendUvarint(data, uint64(count))
	return append(data, encoded...)
}

func appendTargetWork(data []byte, t *TargetWork) []byte {
	data = binary.LittleEndian.AppendUint32(data, t.Tag)
	data = append(data, t.Start)
	return appendWork(data, t.Work)
}

func appendPoolWork(data []byte, p *PoolWork) []byte {
	data = binary.LittleEndian.AppendUint32(data, p.Pool)
	return appendWork(data, p.Work)
}

func appendPoolNews(data []byte, p *PoolNews) []byte {
	data = binary.LittleEndian.AppendUint32(data, p.Pool)
	data = binary.LittleEndian.AppendUint32(data, p.Source)
	data = appendWork(data, p.Work)
	return binary.AppendUvarint(data, uint64((p.Age+ageUnit-1)/ageUnit)) // news grows no younger when it is relayed
}

func appendWork(data []byte, w Work) []byte {
	data = appendUnits(data, w.Busy, busyUnit)
	data = appendUnits(data, w.Finished, finishedUnit)
	return appendUnits(data, w.Flows, flowsUnit)
}

func appendUnits(data []byte, value, unit float64) []byte {
	return binary.AppendUvarint(data, uint64(min(max(0, value/unit+0.5), maxUnits)))
}
