package faults

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/core"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/packet"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/steer"
	"github.com/almondflow/almondflow/table"
)

// naiveBalancer is the baseline that almondflow is compared with. It selects a target by the
// hash of the flow modulo the number of targets in the VM's tables that are not leaving, and
// keeps no records.
type naiveBalancer struct {
	vm *vm
}

// ReceiveFromPeer rejects all messages, because the baseline sends none.
func (n *naiveBalancer) ReceiveFromPeer(clock.Millis, *steer.Message, []byte, core.Sink) result.Code {
	return result.DroppedMalformed
}

// ReceiveFromFabric forwards a client's packet to a target, or a target's answer to its client.
func (n *naiveBalancer) ReceiveFromFabric(_ clock.Millis, inner []byte, sink core.Sink) result.Code {
	var p packet.Packet
	if err := p.Parse(inner); err != nil || n.vm.tables == nil {
		return result.DroppedMalformed
	}
	key := p.Key()
	route := n.vm.tables.Lookup(&key)
	if route == nil {
		return n.reply(&p, &key, sink)
	}
	var live []flow.Endpoint
	hosts := route.Pool().Hosts()
	for i := range hosts {
		if hosts[i].State() != table.Leaving {
			live = append(live, hosts[i].Endpoint())
		}
	}
	if len(live) == 0 {
		return result.DroppedNoTarget
	}
	p.SetDestination(live[key.Hash(flowHashSeed)%uint64(len(live))])
	sink.SendToFabric(p.Bytes())
	return result.Forwarded
}

// reply sends a target's answer to the client, with the destination of the route as its
// source.
func (n *naiveBalancer) reply(p *packet.Packet, key *flow.Key, sink core.Sink) result.Code {
	destination, ok := n.vm.tables.ReplySource(key.Source(), key.Protocol())
	if !ok {
		return result.DroppedNoRoute
	}
	p.SetSource(destination)
	sink.SendToFabric(p.Bytes())
	return result.Replied
}
