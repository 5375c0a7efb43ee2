package main

import (
	"encoding/json"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/almondflow/almondflow/drain"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/platform/standin"
)

// entryVM is an entry VM, whose process is restarted by faults.
type entryVM struct {
	address   netip.Addr
	domain    string
	link      *standin.TCPLink // to the store
	command   *exec.Cmd
	version   int64        // of the tables, last seen since the process started
	drains    []drain.Mark // as last seen since the process started
	era       uint64       // of the store, as last seen
	hearsLoad bool         // other VMs told it of their load lately
	// What the status last showed of refusals for lack of room by the process.
	refusing      []inband.AdmissionStatus // pools some of whose openings are refused
	refused       int                      // less urgent openings
	refusedUrgent int
	log           *os.File
}

// startVM starts the process of a VM with its own settings and log file.
func (s *soak) startVM(v *entryVM) {
	at := func(i int) string { return netip.AddrPortFrom(v.address, s.ports[i]).String() }
	settings, err := json.Marshal(map[string]any{
		"name": v.address.String(), "domain": v.domain, "packet_address": at(0), "readiness_address": at(1),
		"operator_address": at(2), "sibling_address": at(3), "seeds": []string{netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, 1}), s.ports[2]).String()},
		"store_address": v.link.Address(), "policy": "local", "rules": s.rules, "log_lines_per_second": 20, "flow_lifetime_seconds": 60,
		"stop_ms": 100, "max_flows": 1000, "cpu_share": 1, "link_mbps": 100,
	})
	s.requireNoError(err)
	path := filepath.Join(s.t.TempDir(), "settings.json")
	s.requireNoError(os.WriteFile(path, settings, 0o600))
	v.log, err = os.CreateTemp(s.t.TempDir(), "log")
	s.requireNoError(err)
	s.logPaths = append(s.logPaths, v.log.Name())
	v.command = exec.Command(s.binary) //nolint:gosec // the program under test
	v.command.Env = []string{settingsVariable + "=" + path}
	v.command.Stdout, v.command.Stderr = v.log, v.log
	s.requireNoError(v.command.Start())
	v.version, v.drains, v.refused, v.refusedUrgent = 0, nil, 0, 0
}

// terminate sends a signal to the process of a VM and waits until it exits.
func (s *soak) terminate(v *entryVM, signal syscall.Signal) {
	s.requireNoError(v.command.Process.Signal(signal))
	_ = v.command.Wait() // a killed process returns an error
	_ = v.log.Close()
}
