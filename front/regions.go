package front

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/region"
)

// applyRegions puts the regions that settings give to failure domains into force. If they can't be read, those before
// stay, and as long as there are none, routes with allowed regions have no targets.
func (d *Daemon) applyRegions(now clock.Millis, settings *Settings) {
	regions, err := region.ParseMap(settings.Regions)
	if err != nil {
		d.log.Warn("regions_unreadable", "at_ms", now, "error", err)
		return
	}
	d.mu.Lock()
	d.engine.SetRegions(regions)
	d.regions = regions
	d.mu.Unlock()
}
