package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/almondflow/almondflow/drain"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/platform/standin"
)

const (
	maxSilentChecks = 30 // checks after each other that a process may leave unanswered
	checkTimeout    = time.Second
	shownLogBytes   = 30_000 // from the end of the log of a process that failed
)

// entryVM is an entry VM, whose process is restarted by faults.
type entryVM struct {
	address   netip.Addr
	domain    string
	link      *standin.TCPLink // to the store
	command   *exec.Cmd
	exited    chan struct{} // closed when the process has ended
	silent    int           // checks without an answer since the last one
	version   int64         // of the tables, last seen since the process started
	drains    []drain.Mark  // as last seen since the process started
	era       uint64        // of the store, as last seen
	hearsLoad bool          // other VMs told it of their load lately
	// What the status last showed of refusals for lack of room by the process.
	refusing      []inband.AdmissionStatus // pools some of whose openings are refused
	refused       int                      // less urgent openings
	refusedUrgent int
	log           *os.File
}

// startVM starts the process of a VM with its own settings and log file.
func (s *soak) startVM(v *entryVM) {
	at := func(i int) string { return netip.AddrPortFrom(v.address, s.ports[i]).String() }
	seed := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, 1}), s.ports[2]).String()
	settings, err := json.Marshal(map[string]any{
		"name": v.address.String(), "domain": v.domain, "packet_address": at(0), "readiness_address": at(1),
		"operator_address": at(2), "sibling_address": at(3), "seeds": []string{seed},
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
	v.version, v.drains, v.refused, v.refusedUrgent, v.silent = 0, nil, 0, 0, 0
	v.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan<- struct{}) {
		_ = command.Wait() // a killed process returns an error
		close(exited)
	}(v.command, v.exited)
}

// terminate sends a signal to the process of a VM and waits until it exits.
func (s *soak) terminate(v *entryVM, signal syscall.Signal) {
	s.checkRuns(v)
	s.requireNoError(v.command.Process.Signal(signal))
	s.awaitExit(v)
}

// kill ends the process of a VM, unless it has ended.
func (s *soak) kill(v *entryVM) {
	_ = v.command.Process.Kill() // it may have ended
	s.awaitExit(v)
}

func (s *soak) awaitExit(v *entryVM) {
	<-v.exited
	_ = v.log.Close()
}

// checkRuns checks that the process of a VM has not ended by itself.
func (s *soak) checkRuns(v *entryVM) {
	select {
	case <-v.exited:
		s.t.Fatalf("seed %d: the process of %s ended by itself: %s\n%s", *soakSeed, v.address, v.command.ProcessState, s.endOfLog(v))
	default:
	}
}

// noteCheck checks that a process answers before long. If it does not, its log tells where it hangs.
func (s *soak) noteCheck(v *entryVM, err error) {
	if !errors.Is(err, context.DeadlineExceeded) {
		v.silent = 0
		return
	}
	v.silent++
	if v.silent < maxSilentChecks {
		return
	}
	s.requireNoError(v.command.Process.Signal(syscall.SIGQUIT))
	<-v.exited
	s.t.Fatalf("seed %d: %s did not answer %d checks\n%s", *soakSeed, v.address, v.silent, s.endOfLog(v))
}

// endOfLog returns the last lines that the process of a VM has written.
func (s *soak) endOfLog(v *entryVM) string {
	text, err := os.ReadFile(v.log.Name())
	s.requireNoError(err)
	return string(text[max(0, len(text)-shownLogBytes):])
}
