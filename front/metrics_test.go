package front

import (
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// Scrapes of an unchanged daemon are equal, and so comparable: histograms are ordered by name.
func TestMetricsAreWrittenInStableOrder(t *testing.T) {
	is := is.New(t)
	m := newMetrics()
	var first string
	for range 20 {
		var text strings.Builder
		is.NoErr(writeSnapshot(&text, m.scope.(tally.TestScope).Snapshot()))
		if first == "" {
			first = text.String()
		}
		is.Equal(text.String(), first)
	}
	var names []string
	for _, match := range regexp.MustCompile(`(?m)^(\w+)_count `).FindAllStringSubmatch(first, -1) {
		names = append(names, match[1])
	}
	is.Equal(len(names), 5)
	is.True(slices.IsSorted(names))
}
