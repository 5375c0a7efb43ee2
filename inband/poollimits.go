package inband

import "github.com/almondflow/almondflow/clock"

// poolLimits is what the tables say of a pool.
type poolLimits struct {
	topPriority    int          // priority of the most urgent route to the pool
	targetLatency  clock.Millis // the shortest of its routes; zero if none has one
	maxConnections int          // flows that one of its targets holds; zero is no limit
}

// setPoolLimits sets the limits of all pools from the tables.
func (e *Engine) setPoolLimits() {
	isSet := map[*pool]bool{}
	for _, route := range e.routes {
		for _, share := range route.Shares {
			for p := range e.sharedPools(route, share.Service) {
				if !isSet[p] {
					p.poolLimits = poolLimits{topPriority: route.Priority}
					isSet[p] = true
				}
				p.addRoute(route)
			}
		}
	}
	for p := range e.allPools() {
		p.maxConnections = e.maxConnections[p.service]
	}
}

// setMaxConnections keeps the limits that services set on the flows of a target.
func (e *Engine) setMaxConnections(services []Service) {
	e.maxConnections = make(map[string]int, len(services))
	for _, s := range services {
		e.maxConnections[s.Name] = s.MaxConnections
	}
}

// addRoute tightens the limits by those of a route to the pool.
func (l *poolLimits) addRoute(route *Route) {
	l.topPriority = min(l.topPriority, route.Priority)
	if route.TargetLatencyMS > 0 && (l.targetLatency == 0 || route.TargetLatencyMS < l.targetLatency) {
		l.targetLatency = route.TargetLatencyMS
	}
}
