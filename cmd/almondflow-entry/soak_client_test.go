package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/platform/standin"
)

const (
	// initialSequence is the sequence number of a client's first packet. Hosts use small numbers.
	initialSequence = 1 << 30
	// resetWindow is the maximum distance of a reset's sequence number from the client's last
	// acknowledgment.
	resetWindow = 76800
)

// soakClient is a client of one service.
type soakClient struct {
	*standin.Client
	service netip.AddrPort
	random  *rand.Rand
	vm      int // that the fabric hands its packets to
}

// serviceOf returns the service of a client. Every second one is a more urgent one's.
func serviceOf(number int) netip.AddrPort {
	if number%2 == 0 {
		return feedAddress
	}
	return bookingAddress
}

// runClient opens flows and sends requests on them, each packet through a random VM.
func (s *soak) runClient(number int, done <-chan struct{}) {
	socket, err := standin.NewClient(netip.AddrFrom4([4]byte{127, 2, 0, byte(number + 1)}), s.ports[0])
	if err != nil {
		s.t.Error(err)
		return
	}
	defer func() { _ = socket.Close() }()
	client := &soakClient{Client: socket, service: serviceOf(number), random: rand.New(rand.NewPCG(*soakSeed, uint64(number)+2))}
	for port := uint16(2000); ; port++ {
		select {
		case <-done:
			return
		default:
			s.runFlow(client, port, done)
		}
	}
}

// runFlow opens a flow and sends its requests.
func (s *soak) runFlow(client *soakClient, port uint16, done <-chan struct{}) {
	client.vm = client.random.IntN(len(s.vms))
	forbidden := s.knownDrain()
	opened, host, ok := s.exchange(client, port, inband.Packet{Flags: inband.Opening, Seq: initialSequence}, done)
	switch {
	case !ok:
		s.abandoned.Add(1)
		return
	case !opened.Flags.Has(inband.Opening):
		s.refused.Add(1)
		return
	}
	s.checkOpening(host, forbidden)
	for i := range uint32(requestsPerFlow) {
		request := inband.Packet{Flags: inband.Acknowledging, Seq: initialSequence + 1 + 10*i, Ack: opened.Seq + i, Tag: opened.Tag, DataLength: 10}
		response, responder, ok := s.exchange(client, port, request, done)
		switch {
		case !ok:
			s.abandoned.Add(1)
			return
		case response.Flags.Has(inband.Resetting):
			s.checkReset(host, response)
			return
		case responder != host:
			s.t.Errorf("seed %d: flow of host %s was answered by %s", *soakSeed, host, responder)
			return
		}
		s.served.Add(1)
	}
	s.endFlow(client, port, opened)
}

// endFlow acknowledges the last response and ends the flow. Hosts don't answer that.
func (s *soak) endFlow(client *soakClient, port uint16, opened inband.Packet) {
	ending := inband.Packet{
		Flags: inband.Acknowledging | inband.Ending, Seq: initialSequence + 1 + 10*requestsPerFlow,
		Ack: opened.Seq + requestsPerFlow, Tag: opened.Tag,
	}
	vm := netip.AddrPortFrom(s.route(client, false).address, s.ports[0])
	_ = client.Send(vm, port, client.service, ending) // the VM may be down; nothing waits for it
}

// checkReset checks that a flow was reset only because the link of its host failed.
func (s *soak) checkReset(host string, reset inband.Packet) {
	s.resets.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hosts[host].hasFailedLink {
		s.t.Errorf("seed %d: open flow of host %s was reset: %s, sequence number %d", *soakSeed, host, reset.Key.Destination, reset.Seq)
	}
}

// isResponse reports whether the platform's clients accept a packet as the response to another
// one. An open flow is reset only by a sequence number near the client's last acknowledgment. The
// refusal of a copy of the opening, which was late or went through a VM with other tables, is not
// near it.
func isResponse(p, response *inband.Packet) bool {
	if !response.Flags.Has(inband.Resetting) {
		return response.Ack == p.Seq+uint32(max(p.DataLength, 1))
	}
	distance := int32(response.Seq - p.Ack)
	return p.IsOpening() || distance >= -resetWindow && distance <= resetWindow
}

// route chooses the VM of the next packet: a random one, or where flows stay at a VM the same one until it fails.
func (s *soak) route(client *soakClient, isRetry bool) *entryVM {
	if isRetry || !s.keepsFlowsAtVMs {
		client.vm = client.random.IntN(len(s.vms))
	}
	return s.vms[client.vm]
}

// exchange sends a packet repeatedly until its response arrives.
func (s *soak) exchange(client *soakClient, port uint16, p inband.Packet, done <-chan struct{}) (inband.Packet, string, bool) {
	for attempt := range maxAttempts {
		select {
		case <-done:
			return inband.Packet{}, "", false
		default:
		}
		s.sent.Add(1)
		vm := s.route(client, attempt > 0).address
		if err := client.Send(netip.AddrPortFrom(vm, s.ports[0]), port, client.service, p); err != nil {
			continue // the VM is down
		}
		deadline := time.Now().Add(retryInterval)
		for {
			response, responder, err := client.ReceiveUntil(deadline)
			if err != nil {
				break
			}
			if response.Key.Destination.Port() == port && isResponse(&p, &response) {
				return response, responder, true
			}
		}
	}
	return inband.Packet{}, fmt.Sprint(port), false
}
