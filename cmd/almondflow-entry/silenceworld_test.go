package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/operator"
	"github.com/almondflow/almondflow/platform/standin"
)

// silenceWorld is a host and a control before two daemons in processes of their own.
type silenceWorld struct {
	t       *testing.T
	binary  string
	network byte // second octet of all addresses
	ports   [4]uint16
	store   string // address of the stand-in store
	host    *standin.Host
	vms     [2]*silenceVM
	nextID  byte // of the next client's address
}

// silenceVM is one daemon.
type silenceVM struct {
	address netip.Addr
	command *exec.Cmd
	logPath string
}

// flowClient is a client with one flow.
type flowClient struct {
	*standin.Client
	vm      *silenceVM
	service netip.AddrPort
	opened  inband.Packet // the host's answer to the opening
	sent    uint32        // requests sent and answered
}

func (w *silenceWorld) requireNoError(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// start starts the store, the hosts and the daemons, and waits until these know that the hosts answer
// probes.
func (w *silenceWorld) start() {
	store := standin.NewStore()
	server := httptest.NewServer(store)
	w.t.Cleanup(server.Close)
	w.store = strings.TrimPrefix(server.URL, "http://")
	for i := range w.ports {
		w.ports[i] = freePort(w.t)
	}
	w.requireNoError(store.PutTablesWithBookings(1, "core", "other"))
	for i, service := range []string{"core", "other"} { // the second host only shows that the VMs' links work
		host := startHost(w.t, uint64(i+1), w.ports[0])
		w.t.Cleanup(func() { _ = host.Close() })
		w.requireNoError(store.PutHost(host, service, "a", false))
		if service == "core" {
			w.host = host
		}
	}
	for i := range w.vms {
		w.vms[i] = &silenceVM{address: netip.AddrFrom4([4]byte{127, w.network, 0, byte(i + 1)})}
		w.startVM(w.vms[i])
		w.t.Cleanup(func() {
			_ = w.vms[i].command.Process.Kill()
			_ = w.vms[i].command.Wait() // a killed process returns an error
		})
	}
	for _, v := range w.vms {
		w.awaitFirstContacts(v)
	}
}

// startHost starts a host that accepts health checks.
func startHost(t *testing.T, number uint64, clientPort uint16) *standin.Host {
	t.Helper()
	for range maxAttempts {
		host, err := standin.NewHost(number, clientPort)
		if err != nil {
			t.Fatal(err)
		}
		if host.AddHealth() == nil {
			return host
		}
		_ = host.Close() // its port is taken for TCP
	}
	t.Fatal("no port is free for both TCP and UDP")
	return nil
}

func (w *silenceWorld) startVM(v *silenceVM) {
	at := func(i int) string { return netip.AddrPortFrom(v.address, w.ports[i]).String() }
	seed := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, w.network, 0, 1}), w.ports[2]).String()
	settings, err := json.Marshal(map[string]any{
		"name": v.address.String(), "domain": "a", "packet_address": at(0), "readiness_address": at(1),
		"operator_address": at(2), "sibling_address": at(3), "seeds": []string{seed}, "store_address": w.store,
		"policy": "local", "log_lines_per_second": 100, "flow_lifetime_seconds": 60, "stop_ms": 50,
		"max_flows": 1000, "cpu_share": 1, "link_mbps": 100,
	})
	w.requireNoError(err)
	path := filepath.Join(w.t.TempDir(), "settings.json")
	w.requireNoError(os.WriteFile(path, settings, 0o600))
	log, err := os.CreateTemp(w.t.TempDir(), "log")
	w.requireNoError(err)
	defer func() { _ = log.Close() }()
	v.logPath = log.Name()
	v.command = exec.Command(w.binary) //nolint:gosec // the program under test
	v.command.Env = []string{settingsVariable + "=" + path}
	v.command.Stdout, v.command.Stderr = log, log
	w.requireNoError(v.command.Start())
}

// awaitFirstContacts waits until a daemon knows that both hosts answer probes.
func (w *silenceWorld) awaitFirstContacts(v *silenceVM) {
	for range maxIdleChecks * maxIdleChecks {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, err := operator.NewFrontClient(netip.AddrPortFrom(v.address, w.ports[2]).String()).Status(ctx)
		cancel()
		known := 0
		for i := range status.Targets {
			if status.Targets[i].AnswersProbes {
				known++
			}
		}
		if err == nil && known == 2 {
			return
		}
	}
	w.t.Fatalf("%s does not know that the hosts answer probes", v.address)
}

// openFlows opens flows of new clients to a service through a VM and sends one request on each.
func (w *silenceWorld) openFlows(count int, v *silenceVM, service netip.AddrPort) []*flowClient {
	var all []*flowClient
	for range count {
		w.nextID++
		client, err := standin.NewClient(netip.AddrFrom4([4]byte{127, w.network, 1, w.nextID}), w.ports[0])
		w.requireNoError(err)
		w.t.Cleanup(func() { _ = client.Close() })
		f := &flowClient{Client: client, vm: v, service: service}
		f.opened, err = w.exchange(f, inband.Packet{Flags: inband.Opening, Seq: initialSequence})
		w.requireNoError(err)
		w.mustAnswer(f)
		all = append(all, f)
	}
	return all
}

// mustAnswer sends a request and waits for its answer.
func (w *silenceWorld) mustAnswer(f *flowClient) {
	w.t.Helper()
	if err := w.request(f); err != nil {
		w.logDecisions()
		w.t.Fatal(err)
	}
}

// request sends a request and waits for its answer. It returns an error if the flow is reset or there is no
// answer.
func (w *silenceWorld) request(f *flowClient) error {
	if _, err := w.exchange(f, f.nextRequest()); err != nil {
		return err
	}
	f.sent++
	return nil
}

func (f *flowClient) nextRequest() inband.Packet {
	return inband.Packet{Flags: inband.Acknowledging, Seq: initialSequence + 1 + 10*f.sent, Ack: f.opened.Seq + 1 + f.sent, Tag: f.opened.Tag, DataLength: 10}
}

// flowPort is the port of each client's flow, and openingPort that of a flow it opens while it is silent.
const (
	flowPort    = 2000
	openingPort = 2001
)

// exchange sends a packet until its answer arrives. It returns an error if the flow is reset or there is no
// answer.
func (w *silenceWorld) exchange(f *flowClient, p inband.Packet) (inband.Packet, error) {
	for range maxAttempts {
		if err := f.Send(netip.AddrPortFrom(f.vm.address, w.ports[0]), flowPort, f.service, p); err != nil {
			continue
		}
		deadline := time.Now().Add(retryInterval)
		for {
			answer, _, err := f.ReceiveUntil(deadline)
			if err != nil {
				break
			}
			if answer.Key.Destination.Port() != flowPort {
				continue
			}
			if answer.Flags.Has(inband.Resetting) {
				return answer, fmt.Errorf("an open flow of %s to %s was reset, though its host lives", answer.Key.Destination, f.service)
			}
			if answer.Ack == p.Seq+uint32(max(p.DataLength, 1)) {
				return answer, nil
			}
		}
	}
	return inband.Packet{}, fmt.Errorf("no answer to a packet of %d bytes", p.DataLength)
}

// beSilent sends a request, or the opening of another flow, and its copies, while all that comes back is
// lost.
func (w *silenceWorld) beSilent(f *flowClient, isOpening bool, duration time.Duration) {
	p, port := f.nextRequest(), uint16(flowPort)
	if isOpening {
		p, port = inband.Packet{Flags: inband.Opening, Seq: initialSequence}, openingPort
	}
	startedAt := time.Now()
	for _, after := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		if after > duration {
			break
		}
		w.discardUntil(f, startedAt.Add(after))
		if isOpening && after > 0 {
			p.Ack++
		}
		if err := f.Send(netip.AddrPortFrom(f.vm.address, w.ports[0]), port, f.service, p); err != nil {
			w.t.Error(err)
		}
	}
	w.discardUntil(f, startedAt.Add(duration))
}

// discardUntil loses what is sent to a client until a point in time.
func (w *silenceWorld) discardUntil(f *flowClient, end time.Time) {
	for {
		if _, _, err := f.ReceiveUntil(end); err != nil {
			return
		}
	}
}

// moveThereAndBack restarts the second VM as planned. Its flows send a request through the first VM
// meanwhile.
func (w *silenceWorld) moveThereAndBack(flows []*flowClient) {
	second := w.vms[1]
	w.requireNoError(second.command.Process.Signal(syscall.SIGTERM))
	_ = second.command.Wait()
	for _, f := range flows {
		f.vm = w.vms[0]
		w.mustAnswer(f)
	}
	w.startVM(second)
	w.awaitFirstContacts(second)
	for _, f := range flows {
		f.vm = second
		w.mustAnswer(f)
	}
}

// logDecisions logs what the daemons decided about the host.
func (w *silenceWorld) logDecisions() {
	for _, v := range w.vms {
		text, err := os.ReadFile(v.logPath)
		w.requireNoError(err)
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, "target_probed") || strings.Contains(line, "flow_target_dead") || strings.Contains(line, "flow_unanswered") {
				w.t.Logf("%s: %s", v.address, strings.TrimSpace(line))
			}
		}
	}
}
