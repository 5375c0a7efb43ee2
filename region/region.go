// Package region says to which failure domains the flows of a route may go. A route may be bound to some regions,
// each of which consists of failure domains.
package region

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Separators of the text form of a Map.
const (
	domainSeparator = ","
	regionSeparator = "="
)

var (
	// errMalformed means that a part of the text of a Map is not a failure domain with its region.
	errMalformed = errors.New("not a failure domain with its region")
	// errListedTwice means that the text of a Map lists a failure domain more than once.
	errListedTwice = errors.New("failure domain listed twice")
)

// Map holds the regions of failure domains. It is immutable, and the zero value knows none.
type Map struct {
	regions map[string]string // by failure domain
}

// ParseMap returns the regions that a text such as "east-a=east,west-a=west" lists, or an error if a part of it has
// another form or a domain is listed twice. An empty text lists none. Spaces around names do not count.
func ParseMap(text string) (Map, error) {
	if text == "" {
		return Map{}, nil
	}
	regions := map[string]string{}
	for part := range strings.SplitSeq(text, domainSeparator) {
		domain, region, isPair := strings.Cut(part, regionSeparator)
		domain, region = strings.TrimSpace(domain), strings.TrimSpace(region)
		if !isPair || domain == "" || region == "" {
			return Map{}, fmt.Errorf("%w: %q", errMalformed, part)
		}
		if _, isListed := regions[domain]; isListed {
			return Map{}, fmt.Errorf("%w: %q", errListedTwice, domain)
		}
		regions[domain] = region
	}
	return Map{regions: regions}, nil
}

// Domains returns the regions by failure domain.
func (m Map) Domains() map[string]string { return maps.Clone(m.regions) }

// String returns the text form, ordered by failure domain.
func (m Map) String() string {
	var parts []string
	for _, domain := range slices.Sorted(maps.Keys(m.regions)) {
		parts = append(parts, domain+regionSeparator+m.regions[domain])
	}
	return strings.Join(parts, domainSeparator)
}

// Allows reports whether flows of a route that is bound to the allowed regions may go to a failure domain. A route
// without allowed regions is not bound. A domain whose region is not known is in none that is allowed.
func (m Map) Allows(allowed []string, domain string) bool {
	if len(allowed) == 0 {
		return true
	}
	region, isKnown := m.regions[domain]
	return isKnown && slices.Contains(allowed, region)
}

// Overlap reports whether flows of two routes with these allowed regions may go to the same region.
func Overlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(region string) bool { return slices.Contains(b, region) })
}
