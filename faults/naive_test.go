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

// naive is the version that almondflow is compared with: the hash of the flow modulo the
// live targets of the VM's own tables, without records or copies.
type naive struct {
	vm *vm
}

func (n *naive) FromPeer(clock.Millis, *steer.Message, []byte, core.Sink) result.Code {
	return result.DroppedMalformed
}

func (n *naive) FromFabric(_ clock.Millis, inner []byte, sink core.Sink) result.Code {
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
		if hosts[i].Mark() != table.Leaving {
			live = append(live, hosts[i].Endpoint())
		}
	}
	if len(live) == 0 {
		return result.DroppedNoTarget
	}
	p.SetDestination(live[key.Hash(flowHashSeed)%uint64(len(live))])
	sink.Fabric(p.Bytes())
	return result.Forwarded
}

func (n *naive) reply(p *packet.Packet, key *flow.Key, sink core.Sink) result.Code {
	destination, ok := n.vm.tables.Reply(key.Source(), key.Protocol())
	if !ok {
		return result.DroppedNoRoute
	}
	p.SetSource(destination)
	sink.Fabric(p.Bytes())
	return result.Replied
}
