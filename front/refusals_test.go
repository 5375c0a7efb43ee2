package front

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/almondflow/almondflow/admission"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// refusing returns a pool that refuses a share of the openings of priority 2.
func refusing(share float64) []inband.AdmissionStatus {
	return []inband.AdmissionStatus{{Service: "orders", Shares: []admission.Share{{Priority: 1}, {Priority: 2, Refused: share}}}}
}

// A refusal that stops and goes on within a second is one in the log.
func TestBeginAndEndOfARefusalAreLoggedOnce(t *testing.T) {
	steps := []struct {
		at       clock.Millis
		pools    []inband.AdmissionStatus
		expected []bool // begins (true) and ends (false)
	}{
		{0, refusing(0), nil},
		{500, refusing(0.2), []bool{true}},
		{1000, refusing(0.4), nil},
		{1500, refusing(0), nil},
		{2000, refusing(0.1), nil},
		{2500, refusing(0), nil},
		{3000, refusing(0), []bool{false}},
		{3500, refusing(0.1), []bool{true}},
		{4000, nil, nil}, // its routes are gone
		{4500, refusing(0.1), []bool{true}},
	}
	is := is.New(t)
	l := &refusalLog{}
	for _, s := range steps {
		var begins []bool
		for _, c := range l.update(s.at, s.pools) {
			is.Equal(c.share.Priority, 2)
			begins = append(begins, c.isBegin)
		}
		is.Equal(begins, s.expected)
	}
}

func TestRefusalsNeedThePart(t *testing.T) {
	for _, isOn := range []bool{false, true} {
		is := is.New(t)
		d := newDaemon(t, Options{DecodeParts: func([]string) Parts { return Parts{RefusesByUrgency: isOn} }})
		d.engine.SetTables(&inband.Tables{Version: 1, Routes: []inband.Route{
			{Address: netip.MustParseAddrPort("198.18.0.1:80"), Priority: 1, Shares: []inband.Share{{Service: "orders"}}},
			{Address: netip.MustParseAddrPort("198.18.0.1:81"), Priority: 2, Shares: []inband.Share{{Service: "orders"}}},
		}})
		is.Equal(len(d.engine.AdmissionStatuses()), map[bool]int{false: 0, true: 1}[isOn])
	}
}

// The gauge of a priority whose routes are gone must not stay at its last value.
func TestRefusedShareOfPrioritiesThatAreGoneIsZero(t *testing.T) {
	is := is.New(t)
	m := newMetrics()
	shares := func() []float64 {
		var values []float64
		for _, g := range m.scope.(tally.TestScope).Snapshot().Gauges() {
			if g.Name() == refusedShareMetric.Name && g.Tags()["priority"] == "2" {
				values = append(values, g.Value())
			}
		}
		return values
	}
	m.updateRefusals(refusing(0.5))
	is.Equal(shares(), []float64{0.5})
	m.updateRefusals(nil)
	is.Equal(shares(), []float64{0})
}
