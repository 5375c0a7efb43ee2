package inband

import (
	"net/netip"
	"slices"
)

// TablesDelta is the difference between two versions of the tables.
type TablesDelta struct {
	Base    int64            `json:"base"` // version that the delta applies to
	Version int64            `json:"version"`
	IdleMS  int64            `json:"idle_ms"`
	Set     []Route          `json:"set,omitempty"`     // added and changed routes
	Removed []netip.AddrPort `json:"removed,omitempty"` // addresses of removed routes
	// Services replaces the services, which are few, unless KeepsServices is set.
	Services      []Service `json:"services,omitempty"`
	KeepsServices bool      `json:"keeps_services,omitempty"`
}

// Diff returns the delta that turns the tables before into the tables after.
func Diff(before, after *Tables) *TablesDelta {
	delta := &TablesDelta{Base: before.Version, Version: after.Version, IdleMS: after.IdleMS}
	if slices.Equal(before.Services, after.Services) {
		delta.KeepsServices = true
	} else {
		delta.Services = after.Services
	}
	previous := make(map[netip.AddrPort]*Route, len(before.Routes))
	for i := range before.Routes {
		previous[before.Routes[i].Address] = &before.Routes[i]
	}
	for _, r := range after.Routes {
		if o := previous[r.Address]; o == nil || !isSameRoute(o, &r) {
			delta.Set = append(delta.Set, r)
		}
		delete(previous, r.Address)
	}
	for _, r := range before.Routes {
		if previous[r.Address] != nil {
			delta.Removed = append(delta.Removed, r.Address)
		}
	}
	return delta
}

// Apply returns the newer tables that the delta makes of the tables before. It reports false if
// before is nil or not of the delta's base version.
func (d *TablesDelta) Apply(before *Tables) (*Tables, bool) {
	if before == nil || before.Version != d.Base {
		return nil, false
	}
	after := &Tables{Version: d.Version, IdleMS: d.IdleMS, Services: d.Services}
	if d.KeepsServices {
		after.Services = before.Services
	}
	for _, r := range before.Routes {
		isChanged := slices.ContainsFunc(d.Set, func(s Route) bool { return s.Address == r.Address })
		if !isChanged && !slices.Contains(d.Removed, r.Address) {
			after.Routes = append(after.Routes, r)
		}
	}
	after.Routes = append(after.Routes, d.Set...)
	return after, true
}

func isSameRoute(a, b *Route) bool {
	return a.Name == b.Name && a.Address == b.Address && a.Repeatable == b.Repeatable &&
		a.Priority == b.Priority && a.TargetLatencyMS == b.TargetLatencyMS && a.TimeoutMS == b.TimeoutMS &&
		slices.Equal(a.Shares, b.Shares) && slices.Equal(a.AllowedRegions, b.AllowedRegions)
}
