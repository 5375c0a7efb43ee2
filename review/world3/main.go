//go:build review

// Command world3 is the small deployment that the scripts of the third review use: entry VMs as separate
// processes, and stand-ins for the store, the hosts, the routers and the clients, all on loopback addresses. Its
// scenarios are named after the folders of the cases.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a scenario.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCannot  = 2
	argsWanted  = 3
	troubleName = "TROUBLE"
)

// scenario plays one case and returns what broke the rule, or nothing.
type scenario func(w *world, hasTrouble bool) (broken []string, err error)

var scenarios = map[string]scenario{}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []recordLine
}

type recordLine struct {
	at   time.Duration
	text string
}

// add adds a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.addAt(time.Now(), format, args...)
}

func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, recordLine{at.Sub(r.start), fmt.Sprintf(format, args...)})
}

// write writes the lines in the order of their times.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i].at < r.lines[j].at })
	file, err := os.Create(path) //nolint:gosec // the script names the file
	if err != nil {
		return err
	}
	defer file.Close()
	for _, l := range r.lines {
		if _, err := fmt.Fprintf(file, "%9.3f %s\n", l.at.Seconds(), l.text); err != nil {
			return err
		}
	}
	return nil
}

// endOnSignal ends the processes if this one is to end.
func (w *world) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	w.close()
	_ = os.RemoveAll(w.folder) // it is temporary
	os.Exit(exitCannot)
}

func main() {
	if len(os.Args) != argsWanted {
		fmt.Fprintln(os.Stderr, "usage: world3 SCENARIO RECORD")
		os.Exit(exitCannot)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a scenario and returns the exit code.
func play(name, recordPath string) int {
	run, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "world3: unknown scenario", name)
		return exitCannot
	}
	folder, err := os.MkdirTemp("", "world3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "world3:", err)
		return exitCannot
	}
	defer os.RemoveAll(folder)
	w := newWorld(folder)
	go w.endOnSignal()
	broken, err := run(w, os.Getenv(troubleName) != "0")
	w.close()
	for _, b := range broken {
		w.record.add("BROKEN %s", b)
	}
	if err != nil {
		w.record.add("could not run: %v", err)
	}
	if writeErr := w.record.write(filepath.Clean(recordPath)); writeErr != nil {
		fmt.Fprintln(os.Stderr, "world3:", writeErr)
		return exitCannot
	}
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		return exitCannot
	case len(broken) > 0:
		fmt.Println("broken:", len(broken), "times, first:", broken[0])
		return exitBroken
	default:
		fmt.Println("held")
		return exitHeld
	}
}
