package inband

import (
	"slices"
	"strings"

	"github.com/almondflow/almondflow/clock"
)

// BoundRoute is a route whose new flows may go to some regions only.
type BoundRoute struct {
	Name           string   `json:"name"`
	AllowedRegions []string `json:"allowed_regions"`
	Targets        int      `json:"targets"` // of these regions that may get new flows
}

// BoundRoutes returns the routes with allowed regions, ordered by name.
func (e *Engine) BoundRoutes(now clock.Millis) []BoundRoute {
	var all []BoundRoute
	for _, route := range e.routes {
		if len(route.AllowedRegions) > 0 {
			all = append(all, BoundRoute{Name: route.Name, AllowedRegions: route.AllowedRegions, Targets: e.countTargets(now, route)})
		}
	}
	slices.SortFunc(all, func(a, b BoundRoute) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// countTargets returns the number of targets that new flows of a route may go to.
func (e *Engine) countTargets(now clock.Millis, route *Route) int {
	count := 0
	for _, share := range route.Shares {
		for _, b := range e.poolFor(route, share.Service).backends {
			if b.acceptsNewFlows(now) {
				count++
			}
		}
	}
	return count
}
