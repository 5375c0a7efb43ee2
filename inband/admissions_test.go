package inband

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/admission"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// newOneLevelEngine returns an engine with a single route, and the route's pool.
func newOneLevelEngine(options Options) (*Engine, *pool) {
	e := New(options)
	e.SetTables(&Tables{Version: 1, Routes: []Route{{
		Address: netip.MustParseAddrPort("198.18.0.1:80"), Priority: 1, TargetLatencyMS: 400, TimeoutMS: 5000,
		Shares: []Share{{Service: "orders"}},
	}}})
	return e, e.poolOf("orders")
}

// A pool with one level is listed once its openings are hopeless, and remains so: counts must not fall.
func TestPoolsWithOneLevelAreListedOnceTheyRefuse(t *testing.T) {
	is := is.New(t)
	e, p := newOneLevelEngine(Options{RefusesByUrgency: true})
	update := func(now clock.Millis, busy, finished float64) {
		p.admission.Update(now, []load.DomainPool{{Targets: 20, Slots: 40, Work: load.Work{Busy: busy, Finished: finished}}})
	}
	update(clock.Second, 20, 300)
	is.Equal(len(e.AdmissionStatuses()), 0)
	update(2*clock.Second, 4000, 300)
	is.Equal(len(e.AdmissionStatuses()), 1)
	is.True(e.AdmissionStatuses()[0].Shares[0].Hopeless)
	update(3*clock.Second, 20, 300)
	is.Equal(len(e.AdmissionStatuses()), 1)
	is.True(!e.AdmissionStatuses()[0].Shares[0].IsRefusing())
}

// Without the part nothing is measured for it, so that the packet path does no more than before.
func TestAnswersAreMeasuredOnlyForThePart(t *testing.T) {
	tests := []struct {
		name     string
		isOn     bool
		expected float64
	}{
		{"the part is on", true, 400},
		{"the part is off", false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e, p := newOneLevelEngine(Options{RefusesByUrgency: tt.isOn, SharesLoad: true})
			p.admission.SetLevels([]admission.Level{{Priority: 1, TargetLatency: 400}})
			f := &flow{backend: &Backend{pool: p, target: &Target{}}, responseTime: 400, responseBytes: 1000}
			e.recordResponse(0, f)
			p.admission.Update(clock.Second, nil)
			is.Equal(p.admission.Room().ResponseTime, tt.expected)
		})
	}
}

func TestShedRequestsAreMeasuredOnlyForThePart(t *testing.T) {
	is := is.New(t)
	for _, isOn := range []bool{true, false} {
		e, p := newOneLevelEngine(Options{RefusesByUrgency: isOn, SharesLoad: true})
		p.admission.SetLevels([]admission.Level{{Priority: 1, TargetLatency: 400}})
		e.recordShed(&flow{backend: &Backend{pool: p, target: &Target{}}})
		p.admission.Update(clock.Second, nil)
		is.Equal(p.admission.Room().ResponseTime > 0, isOn)
	}
}
