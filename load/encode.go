package load

import (
	"encoding/binary"
	"slices"

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

// Encode encodes a report in at most the given number of bytes. Sums of pools take three quarters of the room
// at most, unless the rest needs less than a quarter, and the targets with the least work are told in sum only if they do not fit.
func Encode(r *Report, maxBytes int) []byte {
	data := appendLimited(make([]byte, 0, maxBytes), r.Pools, newsRoom(r, maxBytes), appendPoolNews)
	whole := appendLimited(data, r.Remote, maxBytes/4, appendPoolWork)
	whole, told := appendTargets(whole, r.Targets, maxBytes)
	if told == len(r.Targets) {
		return whole
	}
	_, told = appendTargets(nil, r.Targets, maxBytes-len(data)-maxBytes/4)
	remote := slices.Concat(sumByPool(r.Targets[told:]), r.Remote)
	data = appendLimited(data, remote, maxBytes/4, appendPoolWork)
	data, _ = appendTargets(data, r.Targets[:told], maxBytes)
	return data
}

// newsRoom returns the room for the news of pools: half of it, or what the rest leaves.
func newsRoom(r *Report, maxBytes int) int {
	rest := appendLimited(make([]byte, 0, maxBytes), r.Remote, maxBytes/4, appendPoolWork)
	rest, _ = appendTargets(rest, r.Targets, maxBytes)
	return max(maxBytes/2, maxBytes-len(rest))
}

// appendTargets appends as many targets as fit and returns their number.
func appendTargets(data []byte, targets []TargetWork, maxBytes int) ([]byte, int) {
	for i := range targets {
		next := appendTargetWork(data, &targets[i])
		if len(next) > maxBytes {
			return data, i
		}
		data = next
	}
	return data, len(targets)
}

// sumByPool adds up the work of targets by their pools, in the order of the targets.
func sumByPool(targets []TargetWork) []PoolWork {
	var sums []PoolWork
	for i := range targets {
		t := &targets[i]
		if t.Pool == 0 {
			continue
		}
		j := slices.IndexFunc(sums, func(p PoolWork) bool { return p.Pool == t.Pool })
		if j < 0 {
			sums = append(sums, PoolWork{Pool: t.Pool})
			j = len(sums) - 1
		}
		sums[j].Work = sums[j].Work.Add(t.Work)
	}
	return sums
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
