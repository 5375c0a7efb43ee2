package load

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/almondflow/almondflow/clock"
)

var (
	errCutOff   = errors.New("the report is cut off")
	errTooLarge = errors.New("a number of the report is too large")
	errRepeated = errors.New("the report names a target twice")
)

// Decode decodes a report. It returns an error if the data is not a report, so that no number of it is
// negative or larger than any that Encode writes.
func Decode(data []byte) (Report, error) {
	d := decoder{data: data}
	var r Report
	for range d.count() {
		r.Pools = append(r.Pools, d.poolNews())
	}
	for range d.count() {
		r.Remote = append(r.Remote, d.poolWork())
	}
	for d.err == nil && len(d.data) > 0 {
		r.Targets = append(r.Targets, d.targetWork())
	}
	if hasRepeatedTag(r.Targets) {
		d.fail(errRepeated) // its numbers would add up
	}
	if d.err != nil {
		return Report{}, fmt.Errorf("decode load report: %w", d.err)
	}
	return r, nil
}

// hasRepeatedTag reports whether two items are of targets with the same tag.
func hasRepeatedTag(targets []TargetWork) bool {
	seen := make(map[uint32]struct{}, len(targets))
	for i := range targets {
		seen[targets[i].Tag] = struct{}{}
	}
	return len(seen) < len(targets)
}

// decoder reads values from the start of the data. After an error it returns zeros.
type decoder struct {
	data []byte
	err  error
}

// count returns the number of items that follow. Each takes a byte at least.
func (d *decoder) count() int {
	count := d.units()
	if count > uint64(len(d.data)) {
		d.fail(errCutOff)
		return 0
	}
	return int(count)
}

func (d *decoder) targetWork() TargetWork {
	return TargetWork{Tag: d.uint32(), Start: d.byte(), Work: d.work()}
}

func (d *decoder) poolWork() PoolWork { return PoolWork{Pool: d.uint32(), Work: d.work()} }

func (d *decoder) poolNews() PoolNews {
	return PoolNews{Pool: d.uint32(), Source: d.uint32(), Work: d.work(), Age: clock.Millis(d.units()) * ageUnit}
}

func (d *decoder) work() Work {
	return Work{
		Busy: float64(d.units()) * busyUnit, Finished: float64(d.units()) * finishedUnit,
		Flows: float64(d.units()) * flowsUnit,
	}
}

func (d *decoder) units() uint64 {
	value, n := binary.Uvarint(d.data)
	if n <= 0 {
		d.fail(errCutOff)
		return 0
	}
	d.data = d.data[n:]
	if value > maxUnits {
		d.fail(errTooLarge)
		return 0
	}
	return value
}

func (d *decoder) uint32() uint32 {
	const size = 4
	if len(d.data) < size {
		d.fail(errCutOff)
		return 0
	}
	value := binary.LittleEndian.Uint32(d.data)
	d.data = d.data[size:]
	return value
}

func (d *decoder) byte() uint8 {
	if len(d.data) == 0 {
		d.fail(errCutOff)
		return 0
	}
	value := d.data[0]
	d.data = d.data[1:]
	return value
}

// fail keeps the first error and drops what is left of the data.
func (d *decoder) fail(err error) {
	if d.err == nil {
		d.err = err
	}
	d.data = nil
}
