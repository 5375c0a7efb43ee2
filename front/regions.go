package front

import (
	"fmt"
	"strings"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/region"
)

// Summary describes settings to the operator who checks them. Regions that can't be read do not make settings invalid,
// as only routes with allowed regions need them, so it says so.
func (s *Settings) Summary() string {
	summary := fmt.Sprintf("entry VM %s in %s, policy %s", s.Name, s.Domain, s.Policy)
	regions, err := region.ParseMap(s.Regions)
	if err != nil {
		return fmt.Sprintf("%s, regions unreadable: %v", summary, err)
	}
	return fmt.Sprintf("%s, regions of %d failure domains", summary, len(regions.Domains()))
}

// regionNames returns the regions that routes are bound to as text, which is empty if they are not bound.
func regionNames(allowed []string) string { return strings.Join(allowed, ",") }

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

// auditRegions records that other regions are in force than before, if they are.
func (d *Daemon) auditRegions(now clock.Millis, before region.Map, source string) {
	previous, current := before.String(), d.currentRegions().String()
	if previous == current {
		return
	}
	d.auditTrail.add(AuditRecord{AtMS: now, Subject: "regions", Before: previous, After: current, Source: source})
	d.log.Info("regions_changed", "at_ms", now, "before", previous, "after", current, "source", source)
}

// currentRegions returns the regions in force.
func (d *Daemon) currentRegions() region.Map {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.regions
}
