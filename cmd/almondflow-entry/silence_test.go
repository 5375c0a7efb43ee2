package main

import (
	"flag"
	"fmt"
	"net/netip"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

var silenceRuns = flag.Int("silence.runs", 0, "runs of each case of silent clients; 0 plays a few cases once")

// silenceCase is a time in which some clients receive nothing, as their access network loses it, while
// their host lives.
type silenceCase struct {
	clients    int
	hasOpening bool // each second client opens a flow meanwhile; the others send requests
	isSpread   bool // half of the clients use the second VM
	isMoved    bool // the second VM was restarted before, and its flows moved to the first and back
	duration   time.Duration
}

func (c silenceCase) String() string {
	return fmt.Sprintf("%d clients, openings %v, two VMs %v, moved %v, %v", c.clients, c.hasOpening, c.isSpread, c.isMoved, c.duration)
}

// silenceCases returns all cases.
func silenceCases() []silenceCase {
	var all []silenceCase
	for _, clients := range []int{2, 8} {
		for _, hasOpening := range []bool{true, false} {
			for _, way := range []struct{ isSpread, isMoved bool }{{false, false}, {true, false}, {false, true}} {
				for _, duration := range []time.Duration{230 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second} {
					all = append(all, silenceCase{clients, hasOpening, way.isSpread, way.isMoved, duration})
				}
			}
		}
	}
	return all
}

// Guards against open flows that are reset while their host lives, because an access network lost what was
// sent to other clients of it: no number of clients, VMs and copies makes silence of clients a proof.
func TestSilentClientsCostNobodyAFlow(t *testing.T) {
	binary := buildDaemon(t)
	cases, runs := silenceCases(), *silenceRuns
	if runs == 0 {
		cases, runs = []silenceCase{{2, true, false, false, 230 * time.Millisecond}, {8, true, false, true, 700 * time.Millisecond}}, 1
	}
	for i, c := range cases {
		for run := range runs {
			t.Run(fmt.Sprintf("%v, run %d", c, run), func(t *testing.T) {
				t.Parallel()
				playSilence(t, binary, c, i*runs+run)
			})
		}
	}
}

func buildDaemon(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "almondflow-entry")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil { //nolint:gosec // builds this package
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// bookingAddress is the route of requests that may not be repeated.
var bookingAddress = netip.MustParseAddrPort("198.18.0.1:8080")

// bookingWorkTime is how long the host takes for a request while clients are silent.
const bookingWorkTime = 170 * time.Millisecond

func playSilence(t *testing.T, binary string, c silenceCase, number int) {
	w := &silenceWorld{t: t, binary: binary, network: byte(20 + number%200)}
	w.start()
	idle := w.openFlows(6, w.vms[0], feedAddress)
	bookings := w.openFlows(6, w.vms[1], bookingAddress)
	silent := w.openFlows(c.clients, w.vms[0], feedAddress)
	for i := range silent {
		if c.isSpread && i%2 == 1 {
			silent[i].vm = w.vms[1]
			w.mustAnswer(silent[i])
		}
	}
	if c.isMoved {
		w.moveThereAndBack(bookings)
	}
	w.host.SetWorkTime(bookingWorkTime)
	var wait sync.WaitGroup
	end := time.Now().Add(c.duration)
	for i, f := range silent {
		wait.Go(func() { w.beSilent(f, c.hasOpening && i%2 == 0, c.duration) })
	}
	for _, f := range bookings { // requests that may not be repeated are under way all the while
		wait.Go(func() {
			for time.Now().Before(end) {
				if err := w.request(f); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	wait.Wait()
	for _, f := range append(idle, bookings...) {
		w.mustAnswer(f) // and no reset came before
	}
	if t.Failed() {
		w.logDecisions()
	}
}
