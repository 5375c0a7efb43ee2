//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"syscall"
	"time"
)

const (
	daemonProgram  = "target/almondflow-entry"
	daemonTemplate = "deploy/entry.json"
	checkInterval  = 500 * time.Millisecond // of readiness
	missesAllowed  = 2
	stopGrace      = 6 * time.Second
)

// ports are the same on all machines.
type ports struct{ packets, ready, control, sibling uint16 }

// daemon is one entry VM, whose program runs as a process of its own.
type daemon struct {
	name, zone string
	address    netip.Addr
	ports      ports
	settings   string // path of the file
	logPath    string
	process    *exec.Cmd
	ended      chan struct{}
	misses     int
	isIn       bool // in rotation
}

func (d *daemon) packets() netip.AddrPort { return netip.AddrPortFrom(d.address, d.ports.packets) }

// fields are the fields of the platform's settings file that the template names.
func (d *daemon) fields(w *world, isFirst bool) map[string]string {
	seeds := make([]string, 0, len(w.daemons))
	for _, other := range w.daemons[:min(len(w.daemons), 3)] {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(other.address, d.ports.control)))
	}
	quote := func(port uint16) string { return fmt.Sprintf("%q", netip.AddrPortFrom(d.address, port)) }
	regions := make([]string, 0, len(w.zones))
	for _, zone := range w.zones {
		regions = append(regions, zone+"=region-1")
	}
	return map[string]string{
		"nodeName|json": fmt.Sprintf("%q", d.name), "zone|json": fmt.Sprintf("%q", d.zone),
		wire.PacketsPlaceholder: quote(d.ports.packets), wire.ReadyPlaceholder: quote(d.ports.ready),
		"listen.control|json": quote(d.ports.control), "ip": d.address.String(),
		wire.SiblingPlaceholder: fmt.Sprint(d.ports.sibling), "seeds|json": "[" + strings.Join(seeds, ",") + "]",
		"platform.address|json": fmt.Sprintf("%q", w.storeAddress), "bounds.maxFlowS": "60", "limits.cpuShare": "0.4",
		"limits.linkMbps": "1000.0", "bootstrap|json": fmt.Sprint(isFirst), "contracts": "base,drain,config,cost,recover,flows,platform",
		"zones": strings.Join(regions, ","),
	}
}

var (
	sectionPattern     = regexp.MustCompile(`\{\{#(\w+)\}\}.*\{\{/\w+\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([^{}]+)\}\}`)
)

// writeSettings fills in the template of the deploy file as the platform does.
func (d *daemon) writeSettings(w *world, isFirst bool) error {
	template, err := os.ReadFile(daemonTemplate)
	if err != nil {
		return err
	}
	fields := d.fields(w, isFirst)
	text := sectionPattern.ReplaceAllStringFunc(string(template), func(section string) string {
		return fields[sectionPattern.FindStringSubmatch(section)[1]]
	})
	text = placeholderPattern.ReplaceAllStringFunc(text, func(p string) string { return fields[strings.Trim(p, "{}")] })
	d.settings = filepath.Join(w.folder, d.name+".json")
	d.logPath = filepath.Join(w.folder, d.name+".log")
	return os.WriteFile(d.settings, []byte(text), 0o600)
}

// start starts the program.
func (d *daemon) start(w *world, isFirst bool) error {
	if err := d.writeSettings(w, isFirst); err != nil {
		return err
	}
	output, err := os.OpenFile(d.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	d.process = exec.CommandContext(context.Background(), daemonProgram)
	d.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.folder, "LANG=C", "ALMONDFLOW_CONFIG=" + d.settings}
	d.process.Stdout, d.process.Stderr = output, output
	d.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if this process is killed
	if err := startOnOneThread(d.process); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go func(process *exec.Cmd, ended chan struct{}) {
		_ = process.Wait() // how it ended is seen by its effects
		close(ended)
	}(d.process, d.ended)
	w.record.add("%s started", d.name)
	return nil
}

// starts are commands to start. The kernel ends a process with the thread that started it, so one thread starts all.
var starts = make(chan func())

func init() {
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
}

func startOnOneThread(c *exec.Cmd) error {
	failed := make(chan error)
	starts <- func() { failed <- c.Start() }
	return <-failed
}

// signal sends a signal to the process.
func (d *daemon) signal(w *world, s syscall.Signal) {
	w.record.add("%s gets %v", d.name, s)
	_ = d.process.Process.Signal(s) // it may have ended
}

// stop ends the process as the platform does: SIGTERM, then SIGKILL after the grace.
func (d *daemon) stop(w *world) {
	d.signal(w, syscall.SIGTERM)
	select {
	case <-d.ended:
	case <-time.After(stopGrace):
		w.record.add("%s did not end in time", d.name)
		d.kill()
	}
}

func (d *daemon) kill() {
	if d.process == nil {
		return
	}
	_ = d.process.Process.Kill() // it may have ended
	<-d.ended
}

// isReady asks for the readiness as the platform does.
func (d *daemon) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, checkInterval)
	defer cancel()
	url := "http://" + netip.AddrPortFrom(d.address, d.ports.ready).String() + wire.ReadinessPath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// freePorts finds ports that are free on all the addresses, for TCP and UDP.
func freePorts(addresses []netip.Addr) (ports, error) {
	var found []uint16
	for range 200 {
		listener, err := net.Listen("tcp4", addresses[0].String()+":0") //nolint:noctx // closed at once
		if err != nil {
			return ports{}, err
		}
		port := listener.Addr().(*net.TCPAddr).AddrPort().Port()
		_ = listener.Close()
		if !isFree(addresses, port) {
			continue
		}
		if found = append(found, port); len(found) == 4 {
			return ports{found[0], found[1], found[2], found[3]}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

func isFree(addresses []netip.Addr, port uint16) bool {
	for _, address := range addresses {
		at := netip.AddrPortFrom(address, port)
		listener, err := net.Listen("tcp4", at.String()) //nolint:noctx // closed at once
		if err != nil {
			return false
		}
		_ = listener.Close()
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
		if err != nil {
			return false
		}
		_ = conn.Close()
	}
	return true
}
