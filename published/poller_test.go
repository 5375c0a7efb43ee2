package published_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/published"
	"github.com/almondflow/almondflow/strictjson"
)

// service is a fake of the platform's service.
type service struct {
	values map[string]published.Response
	// fault is the response to all calls, unless nil.
	fault *published.Response
	calls int
}

func (s *service) publish(name string, version uint64, document string) {
	s.values[name] = published.NewResponse(version, []byte(document))
}

func (s *service) call(request published.Request) published.Response {
	s.calls++
	if s.fault != nil {
		return *s.fault
	}
	response, exists := s.values[request.Name()]
	switch {
	case !exists:
		return published.NewFailure("status 404")
	case request.Wait() > 0 && response.Version() <= request.After():
		return published.NewUnchanged()
	}
	return response
}

func newService() *service { return &service{values: make(map[string]published.Response)} }

func newPoller(isReader bool) *published.Poller {
	limiter := published.NewLimiter(0, 8)
	limiter.SetFleet(0, 8, 8, isReader)
	p := published.NewPoller(0, published.Tables, limiter, rand.New(rand.NewPCG(1, 1)), 8)
	p.SetFleet(0, 8, isReader)
	return p
}

// runPoller runs a poller in virtual time for the given duration and returns its updates.
// Long polls without a newer version take their full wait.
func runPoller(p *published.Poller, s *service, from, duration clock.Millis) []published.Update {
	var updates []published.Update
	for now := from; now < from+duration; {
		request, ok := p.Next(now)
		if !ok {
			now = max(now+1, p.DueAt())
			continue
		}
		response := s.call(request)
		if response.Outcome() == published.Unchanged {
			now += request.Wait()
		}
		now++
		if update, ok := p.HandleResponse(now, response); ok {
			updates = append(updates, update)
		}
	}
	return updates
}

// Guards against a poller that calls without backoff while the platform is faulty, delivers an
// update from it, or does not fetch the next version afterwards.
func TestPollerRecoversFromPlatformFaults(t *testing.T) {
	down := published.NewFailure("down")
	tests := []struct {
		name string
		fail func(s *service)
	}{
		{"down", func(s *service) { s.fault = &down }},
		{"stale", func(s *service) { s.publish(published.Tables, 4, `{"version":4}`) }},
		{"gone", func(s *service) { delete(s.values, published.Tables) }},
		{"invalid head", func(s *service) { s.publish(published.Tables, 6, `{"version":6,"parts":[{"name":"p"}]}`) }},
		{"head of another version", func(s *service) {
			s.publish(published.Tables, 6, `{"version":5,"parts":[{"name":"p","sha256":"`+fmt.Sprintf("%064d", 0)+`"}]}`)
		}},
		{"part of another version", func(s *service) {
			s.publish("p", 1, `{}`)
			s.publish(published.Tables, 6, `{"version":6,"parts":[{"name":"p","sha256":"`+fmt.Sprintf("%064d", 0)+`"}]}`)
		}},
	}
	for _, test := range tests {
		for _, isReader := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/reader=%t", test.name, isReader), func(t *testing.T) {
				is := is.New(t)
				s, p := newService(), newPoller(isReader)
				s.publish(published.Tables, 5, `{"version":5}`)
				is.Equal(len(runPoller(p, s, 0, clock.Minute)), 1)
				test.fail(s)
				before := s.calls
				is.Equal(len(runPoller(p, s, clock.Minute, clock.Hour)), 0) // no update during the fault
				const shortestDelay = 2 * clock.Second                      // half of the longest backoff of a small fleet
				is.True(s.calls-before < 3*int(clock.Hour/shortestDelay))   // an attempt takes at most three calls
				s.fault = nil
				s.publish(published.Tables, 7, `{"version":7}`)
				updates := runPoller(p, s, clock.Hour+clock.Minute, 2*clock.Minute)
				is.Equal(len(updates), 1) // recovers
				is.Equal(updates[0].Version(), uint64(7))
			})
		}
	}
}

// Guards against a poller that fetches unchanged parts again when a new version is published.
func TestPollerAssemblesSplitValue(t *testing.T) {
	is := is.New(t)
	s, p := newService(), newPoller(true)
	publish := func(version uint64, documents ...string) {
		var parts []strictjson.Part
		for i, document := range documents {
			name := fmt.Sprintf("tables.%d", i)
			s.publish(name, 1, document)
			parts = append(parts, strictjson.NewPart(name, []byte(document)))
		}
		head, err := published.NewHead(version, parts)
		is.NoErr(err)
		s.publish(published.Tables, version, string(head))
	}
	publish(1, `{"routes":[]}`, `{"pools": []}`)
	updates := runPoller(p, s, 0, clock.Second)
	is.Equal(len(updates), 1)
	all, err := updates[0].Parts()
	is.NoErr(err)
	is.Equal(string(all[1].Document()), `{"pools": []}`)
	is.Equal(s.calls, 4) // the head, two parts and a long poll
	s.calls = 0
	publish(2, `{"routes":[]}`, `{"pools":[ ]}`, `{}`)
	updates = runPoller(p, s, clock.Minute, clock.Second)
	is.Equal(len(updates), 1)
	is.Equal(len(updates[0].Added()), 1)
	is.Equal(s.calls, 3) // the head, the new part and a long poll
}

// Guards against daemons that all call the service although their peers confirm their version,
// and against daemons that stop calling when peers no longer confirm it.
func TestPeersPostponeDirectReads(t *testing.T) {
	is := is.New(t)
	s, p := newService(), newPoller(false)
	s.publish(published.Tables, 1, `{"version":1}`)
	is.Equal(len(runPoller(p, s, 0, clock.Second)), 1)
	s.calls = 0
	for now := clock.Second; now < clock.Minute; now += clock.Second {
		p.ReceivePeerVersion(now, 1, 0)
		runPoller(p, s, now, clock.Second)
	}
	is.Equal(s.calls, 0) // peers confirm the version
	runPoller(p, s, clock.Minute, clock.Minute)
	is.True(s.calls >= 2 && s.calls <= 3) // one for each direct read delay
}
