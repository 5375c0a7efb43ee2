package entry

import (
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/member"
	"github.com/almondflow/almondflow/operator"
)

// Event acts on what the membership reports. It implements peers.Observer.
func (c *control) Event(e member.Event) {
	c.steering.Event(e)
	switch e.Kind {
	case member.StatusChanged:
		c.daemon.trail.Add(operator.ChangedPeer, c.name(e.Member), e.Before.String(), e.After.String(), "membership")
	case member.Refuted:
		c.daemon.trail.Add(operator.ChangedPeer, c.daemon.config.Name, "suspected", "refuted", "membership")
	case member.Paused, member.Resumed, member.Established:
		c.daemon.trail.Add(operator.ChangedState, c.daemon.config.Name, "", e.Kind.String(), "membership")
	default:
	}
}

func (c *control) name(id fleet.ID) string {
	if list := c.daemon.store.List(); list != nil {
		if vm, ok := list.Find(id); ok {
			return vm.Name()
		}
	}
	return "entry VM that is not listed"
}
