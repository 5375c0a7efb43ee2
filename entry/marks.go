package entry

import (
	"strconv"

	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/operator"
	"github.com/almondflow/almondflow/table"
)

// recordMarks adds the hosts whose mark changed from one version to the next to the
// audit trail. Hosts that were added or removed have no mark on one side.
func recordMarks(trail *operator.Trail, before, after *table.Snapshot) {
	if before == nil {
		return
	}
	source := "tables version " + strconv.FormatUint(after.Version(), 10)
	seen := make(map[flow.TargetID]bool)
	for _, p := range after.Pools() {
		for i := range p.Hosts() {
			h := &p.Hosts()[i]
			seen[h.ID()] = true
			old, existed := before.Host(h.ID())
			switch {
			case !existed:
				trail.Add(operator.ChangedMark, hostPath(p, h), "", h.Mark().String(), source)
			case old.Mark() != h.Mark():
				trail.Add(operator.ChangedMark, hostPath(p, h), old.Mark().String(), h.Mark().String(), source)
			}
		}
	}
	for _, p := range before.Pools() {
		for i := range p.Hosts() {
			if h := &p.Hosts()[i]; !seen[h.ID()] {
				trail.Add(operator.ChangedMark, hostPath(p, h), h.Mark().String(), "", source)
			}
		}
	}
}

func hostPath(p *table.Pool, h *table.Host) string { return p.Name() + "/" + h.Name() }
