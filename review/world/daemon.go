//go:build review

package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are the same on all machines of a day.
type ports struct{ datagram, ready, control, internal int }

// daemon is an entry VM: the project's own program as a process.
type daemon struct {
	record   *record
	name     string
	zone     string
	zones    []string // of the deployment
	ip       string
	ports    ports
	folder   string
	seeds    []string
	store    string
	command  *exec.Cmd
	ended    chan struct{}
	mu       sync.Mutex
	misses   int
	inRouter bool
}

func (d *daemon) packets() netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("%s:%d", d.ip, d.ports.datagram))
}

// settings fills in deploy/entry.json as the platform does for a small deployment.
func (d *daemon) settings(isFirst bool) (string, error) {
	template, err := os.ReadFile("deploy/entry.json")
	if err != nil {
		return "", err
	}
	quote := func(s string) string { return `"` + s + `"` }
	seeds := make([]string, len(d.seeds))
	for i, s := range d.seeds {
		seeds[i] = quote(fmt.Sprintf("%s:%d", s, d.ports.control))
	}
	address := func(port int) string { return quote(fmt.Sprintf("%s:%d", d.ip, port)) }
	text := strings.NewReplacer(
		"{{nodeName|json}}", quote(d.name),
		"{{zone|json}}", quote(d.zone),
		wire.PacketPlaceholder, address(d.ports.datagram),
		wire.ReadinessPlaceholder, address(d.ports.ready),
		"{{listen.control|json}}", address(d.ports.control),
		"{{ip}}", d.ip,
		wire.InternalPlaceholder, fmt.Sprint(d.ports.internal),
		"{{seeds|json}}", "["+strings.Join(seeds, ",")+"]",
		"{{platform.address|json}}", quote(d.store),
		"{{bounds.maxFlowS}}", "60",
		"{{limits.cpuShare}}", "0.088",
		"{{limits.linkMbps}}", "1000.0",
		"{{bootstrap|json}}", fmt.Sprint(isFirst),
		"{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", strings.Join(d.zones, "=marmara,")+"=marmara",
		"{{contracts}}", "base,drain,config,cost,recover,flows,platform",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("a placeholder of deploy/entry.json is not filled in: %s", text)
	}
	path := filepath.Join(d.folder, d.name+".json")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// start starts the process.
func (d *daemon) start(isFirst bool) error {
	path, err := d.settings(isFirst)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, d.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.command = exec.Command("target/almondflow-entry")
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "ALMONDFLOW_CONFIG=" + path}
	d.command.Stdout, d.command.Stderr = log, log
	// The process ends with this one, even if this one is killed.
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnOneThread(d.command); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		err := c.Wait()
		d.record.line("entry VM %s ended: %v", d.name, err)
		close(ended)
	}(d.command, d.ended)
	d.record.line("entry VM %s started", d.name)
	return nil
}

// starts are commands to start. The kernel ends a process with the thread that started it, so that one thread starts all.
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

// terminate sends SIGTERM, and SIGKILL after graceS.
func (d *daemon) terminate() {
	d.record.line("SIGTERM to entry VM %s", d.name)
	_ = d.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.ended:
	case <-time.After(6 * time.Second):
		_ = d.command.Process.Kill()
		<-d.ended
	}
}

func (d *daemon) kill() {
	if d.command == nil {
		return
	}
	_ = d.command.Process.Kill()
	<-d.ended
}

// router forwards packets of clients to the entry VMs in rotation.
type router struct {
	record  *record
	daemons []*daemon
}

// run asks each entry VM twice a second whether it is ready.
func (r *router) run() {
	for _, d := range r.daemons {
		go func() {
			transport := &http.Transport{DisableKeepAlives: true}
			client := &http.Client{Timeout: 400 * time.Millisecond, Transport: transport}
			for {
				response, err := client.Get(fmt.Sprintf("http://%s:%d%s", d.ip, d.ports.ready, wire.ReadinessPath))
				isReady := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				d.mu.Lock()
				before := d.inRouter
				if isReady {
					d.misses, d.inRouter = 0, true
				} else if d.misses++; d.misses >= 2 {
					d.inRouter = false
				}
				after := d.inRouter
				d.mu.Unlock()
				if before != after {
					r.record.line("entry VM %s in rotation: %v", d.name, after)
				}
				time.Sleep(500 * time.Millisecond)
			}
		}()
	}
}

// pick selects an entry VM for a packet of a client in a zone by a hash of the four addresses and ports, so that only the
// flows of one that leaves or joins move.
func (r *router) pick(zone string, src, dst netip.AddrPort) netip.AddrPort {
	var local, ready, elsewhere []*daemon
	for _, d := range r.daemons {
		d.mu.Lock()
		isReady := d.inRouter
		d.mu.Unlock()
		if d.zone == zone {
			local = append(local, d)
		}
		switch {
		case isReady && d.zone == zone:
			ready = append(ready, d)
		case isReady:
			elsewhere = append(elsewhere, d)
		}
	}
	switch {
	case len(ready) == 0 && len(elsewhere) > 0:
		ready = elsewhere
	case 2*len(ready) < len(local):
		ready = local
	}
	var best *daemon
	var bestWeight uint64
	for _, d := range ready {
		h := fnv.New64a()
		_, _ = fmt.Fprintf(h, "%s %s %s", d.ip, src, dst)
		weight := h.Sum64()
		weight ^= weight >> 33
		weight *= 0xff51afd7ed558ccd
		weight ^= weight >> 33
		if best == nil || weight > bestWeight {
			best, bestWeight = d, weight
		}
	}
	return best.packets()
}
