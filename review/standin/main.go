//go:build review

package main

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// cases are the scripted cases by name. Each plays its scenario with or without its disruption.
var cases = map[string]func(w *world, hasTrouble bool) error{
	"silence":   playSilence,
	"moved":     playMoved,
	"carried":   playCarried,
	"seeds":     playSeeds,
	"partition": playPartition,
}

func main() {
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *recordPath))
}

func run(name, recordPath string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return notRun
	}
	w, err := newWorld(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return notRun
	}
	defer w.close()
	hasTrouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, with its disruption: %v", name, hasTrouble)
	if err := play(w, hasTrouble); err != nil {
		w.note("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return notRun
	}
	if len(w.broken) > 0 {
		fmt.Printf("%s: rule broken %d times, first: %s\n", name, len(w.broken), w.broken[0])
		w.note("result: rule broken %d times", len(w.broken))
		return ruleBroken
	}
	fmt.Printf("%s: rule held\n", name)
	w.note("result: rule held")
	return ruleHeld
}

// Routes are addresses that packets name; nothing is sent to them.
var (
	feedAddress    = netip.MustParseAddrPort("127.0.15.1:8443")
	bookingAddress = netip.MustParseAddrPort("127.0.15.2:8443")
)

const (
	contactTime = 4 * time.Second // after a start, a machine is not in touch for so long
	feedWorkMS  = 22              // mean work of a feed request
)

// startSystem starts all machines and waits until they are ready, in rotation and in touch.
func (w *world) startSystem(done <-chan struct{}) error {
	for _, v := range w.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, v := range w.vms {
		if err := v.waitReady(); err != nil {
			return err
		}
		go v.watchReadiness(done)
	}
	time.Sleep(contactTime + 1500*time.Millisecond)
	w.note("all machines are in touch")
	return nil
}

func (w *world) putFeedAndBooking() {
	w.routes = []route{
		{"feed", feedAddress, "safe", "despacho"},
		{"booking", bookingAddress, "unsafe", "despacho"},
	}
	w.putTables()
}

// openServed opens flows through a machine, sends one request on each, and returns the open flows
// by the host that answered.
func openServed(c *zoneClients, kind string, to netip.AddrPort, count int, through *vm) (map[string][]*clientFlow, error) {
	byHost := map[string][]*clientFlow{}
	for i := range count {
		f := c.newFlow(fmt.Sprintf("%s%d", kind, i+1), to, through)
		if !f.open() {
			return nil, fmt.Errorf("flow %s did not open", f.name)
		}
		host := hostOf(f.request(f.name+"-first", feedWorkMS, time.Second))
		if host == "" {
			return nil, fmt.Errorf("flow %s was not served", f.name)
		}
		byHost[host] = append(byHost[host], f)
	}
	return byHost, nil
}

// hostOf returns the host in an answer, or an empty text.
func hostOf(answer string) string {
	var id, host string
	if _, err := fmt.Sscanf(answer, "answer %s %s", &id, &host); err != nil {
		return ""
	}
	return host
}

// checkResets breaks FLOW for each flow that the system reset although its host lives.
func checkResets(w *world, host string, flows []*clientFlow) {
	for _, f := range flows {
		f.c.mu.Lock()
		by := f.resetBy
		f.c.mu.Unlock()
		if by == "the system" {
			w.breaks("FLOW: the system reset the open flow %s (%s) of host %s, which lives and has no disruption", f.name, f.key.Client, host)
		}
	}
}
