package entry

import (
	"cmp"
	"slices"

	"github.com/almondflow/almondflow/core"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/operator"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/table"
)

// Status returns the state of the daemon. It implements operator.Daemon.
func (d *Daemon) Status() operator.Status {
	tables, list := d.Versions()
	state := "serving"
	if d.leaving.Load() {
		state = "leaving"
	}
	s := operator.Status{
		Name:          d.config.Name,
		Domain:        d.config.Domain,
		State:         state,
		Incarnation:   d.incarnation,
		UptimeSeconds: int64((d.clock.Now() - d.started).Duration().Seconds()),
		TableVersion:  tables,
		ListVersion:   list,
		Flows:         d.node.FlowCount(),
		Voting:        d.Voting(),
		Peers:         d.peerStates(),
		Results:       []operator.Result{},
	}
	for code, count := range d.resultCounts() {
		if count > 0 {
			s.Results = append(s.Results, operator.Result{Code: uint16(code), Name: code.String(), Count: count})
		}
	}
	slices.SortFunc(s.Results, func(a, b operator.Result) int { return cmp.Compare(a.Code, b.Code) })
	return s
}

// peerStates returns the states of the other entry VMs in the current list. It returns none
// before the first list arrives.
func (d *Daemon) peerStates() []operator.Peer {
	peers := []operator.Peer{}
	list, view := d.store.List(), d.control.view.Load()
	if list == nil || view == nil {
		return peers
	}
	for i := range list.VMs() {
		vm := &list.VMs()[i]
		if vm.ID() == d.self {
			continue
		}
		peers = append(peers, operator.Peer{
			Name:   vm.Name(),
			Domain: vm.Domain(),
			State:  vm.State().String(),
			Alive:  view.Alive(vm.ID()),
		})
	}
	return peers
}

// Flows returns up to limit flows of the flow table. It implements operator.Daemon.
func (d *Daemon) Flows(limit int) []operator.Flow {
	flows := []operator.Flow{}
	d.node.EachFlow(d.clock.Now(), limit, func(info core.FlowInfo) {
		role := "copy"
		if info.Owned {
			role = "owner"
		}
		target := ""
		if !info.Target.IsZero() {
			target = info.Target.Endpoint().String()
		}
		flows = append(flows, operator.Flow{
			Protocol:    info.Key.Protocol().String(),
			Source:      info.Key.Source().String(),
			Destination: info.Key.Destination().String(),
			Target:      target,
			Role:        role,
		})
	})
	return flows
}

// Explain returns the route, the holders and the target of a flow with the reasons for
// them. It implements operator.Daemon.
func (d *Daemon) Explain(key flow.Key) operator.Explanation {
	e := operator.Explanation{Flow: key.String(), Holders: []operator.Holder{}, Reasons: []string{}}
	tables, list := d.store.Tables(), d.store.List()
	if tables == nil || list == nil {
		e.Reasons = append(e.Reasons, "this entry VM has no tables or no list of entry VMs yet")
		return e
	}
	route := tables.Lookup(&key)
	if route == nil {
		e.Reasons = append(e.Reasons, result.DroppedNoRoute.String()+": no route matches protocol, destination and source")
		return e
	}
	explainRoute(&e, route)
	d.explainHolders(&e, &key, route, list)
	d.explainTarget(&e, &key, tables)
	return e
}

func explainRoute(e *operator.Explanation, route *table.Route) {
	e.Service, e.Pool, e.Repeatable = route.Name(), route.Pool().Name(), route.Repeatable()
	reason := "route " + route.Name() + " matches the destination"
	if route.Source().IsValid() {
		reason += " and the source prefix " + route.Source().String()
	}
	e.Reasons = append(e.Reasons, reason)
	if !route.Repeatable() {
		e.Reasons = append(e.Reasons, "the route is not repeatable: each holder is in another failure domain and two of three decide the target")
	}
}

func (d *Daemon) explainHolders(e *operator.Explanation, key *flow.Key, route *table.Route, list *fleet.List) {
	holders := d.node.Holders(key, route.Repeatable())
	view := d.control.view.Load()
	for i := range holders.Len() {
		vm, ok := list.Find(holders.At(i))
		if !ok {
			continue
		}
		alive := view == nil || view.Alive(vm.ID())
		e.Holders = append(e.Holders, operator.Holder{Name: vm.Name(), Domain: vm.Domain(), Alive: alive})
		if i == 0 {
			e.HomeDomain = vm.Domain()
		}
		if alive && e.Owner == "" {
			e.Owner = vm.Name()
		}
	}
	if e.Owner != "" {
		e.Reasons = append(e.Reasons, "the owner is the highest holder believed alive")
	}
}

func (d *Daemon) explainTarget(e *operator.Explanation, key *flow.Key, tables *table.Snapshot) {
	info, known := d.node.Lookup(d.clock.Now(), key)
	if !known || info.Target.IsZero() {
		e.Reasons = append(e.Reasons, "this entry VM has no record of the flow; ask the owner for the target")
		return
	}
	e.Target = info.Target.Endpoint().String()
	if host, ok := tables.Host(info.Target.ID()); ok {
		e.Host = host.Name()
	}
	if info.Owned {
		e.Reasons = append(e.Reasons, "this entry VM owns the record")
	} else {
		e.Reasons = append(e.Reasons, "this entry VM has a copy of the record")
	}
}
