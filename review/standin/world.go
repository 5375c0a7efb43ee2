//go:build review

// Command standin plays the scripted cases of the review: it starts the daemons of a small
// deployment as separate processes, between stand-ins for the store, the router, hosts and clients
// that follow the users' pages, and checks one rule on what clients and hosts see.
package main

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/platform/standin"
)

//go:embed names.json
var namesText []byte

// names holds the names of the platform's protocol, which stay out of the source.
var names struct {
	TablesKey    string            `json:"tables_key"`
	TargetPrefix string            `json:"target_prefix"`
	StateReady   string            `json:"state_ready"`
	StateLeaving string            `json:"state_leaving"`
	IdleLimit    string            `json:"idle_limit"`
	SlowStart    string            `json:"slow_start"`
	ReadyPath    string            `json:"ready_path"`
	Template     map[string]string `json:"template"`
}

// program is the daemon, as deploy/system.toml builds and runs it.
const program = "target/almondflow-entry"

// ports are the same on all machines of a deployment.
type ports struct{ packets, ready, control, sibling uint16 }

// world is one deployment with its stand-ins.
type world struct {
	dir      string // temporary folder
	started  time.Time
	mu       sync.Mutex
	record   *os.File
	broken   []string
	store    *standin.Store
	ports    ports
	vms      []*vm
	routes   []route
	idleMS   int
	version  int
	openings map[inband.Key]chan<- string // told the host that gets the opening
	tablesMu sync.Mutex
}

// route is one route of the tables.
type route struct {
	name    string
	address netip.AddrPort
	kind    string
	service string
}

func newWorld(recordPath string) (*world, error) {
	if err := json.Unmarshal(namesText, &names); err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the daemon is not built: %w", err)
	}
	dir, err := os.MkdirTemp("", "almondflow-review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, started: time.Now(), record: record, store: standin.NewStore(), idleMS: 15000, openings: map[inband.Key]chan<- string{}}
	w.ports, err = freePorts()
	return w, err
}

// note writes one line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.1f ms  %s\n", float64(time.Since(w.started).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// breaks notes that the rule was broken.
func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.note("RULE BROKEN: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

func (w *world) brokenCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.broken)
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, v := range w.vms {
		v.kill()
	}
	for _, v := range w.vms {
		w.copyLog(v)
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// copyLog adds the lines of a daemon that explain its decisions to the record.
func (w *world) copyLog(v *vm) {
	text, err := os.ReadFile(v.logPath)
	if err != nil {
		return
	}
	for line := range strings.Lines(string(text)) {
		for _, word := range []string{"msg=started", "msg=ready", "flow_target_dead", "flow_moved_silent", "domain_probed", "flow_no_target", "msg=ended"} {
			if strings.Contains(line, word) {
				_, _ = fmt.Fprintf(w.record, "log of %s: %s", v.name, line)
				break
			}
		}
	}
}

// freePorts finds ports that are free on the addresses that are used.
func freePorts() (ports, error) {
	for range 50 {
		var found [4]uint16
		for i := range found {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				return ports{}, err
			}
			found[i] = uint16(l.Addr().(*net.TCPAddr).Port)
			defer l.Close()
		}
		if isUDPFree(found[0]) && isUDPFree(found[3]) {
			return ports{found[0], found[1], found[2], found[3]}, nil
		}
	}
	return ports{}, errors.New("no free ports")
}

func isUDPFree(port uint16) bool {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{Port: int(port)})
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// putTables publishes the routes under the next version and returns the time of the store's answer.
func (w *world) putTables() time.Time {
	w.version += 3
	var routes []map[string]any
	for _, r := range w.routes {
		routes = append(routes, map[string]any{
			"name": r.name, "hostname": r.address.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.address.Port()),
			"type": r.kind, "service": r.service, "timeoutMs": 1200, "priority": 1,
		})
	}
	if err := w.store.Put(names.TablesKey, map[string]any{"version": w.version, "routes": routes, "limits": map[string]any{names.IdleLimit: w.idleMS}}); err != nil {
		w.note("tables not stored: %v", err)
	}
	at := time.Now()
	w.note("operator: version %d with %d routes acknowledged", w.version, len(routes))
	return at
}

// vm is one machine of the system with its process.
type vm struct {
	w         *world
	name      string
	ip        netip.Addr
	zone      string
	seeds     []string
	bootstrap bool
	storeAt   string
	logPath   string
	mu        sync.Mutex
	cmd       *exec.Cmd
	startedAt time.Time
	inService bool
	misses    int
	checkedAt time.Time // when the last readiness request was sent
	onRead    func(v *vm, started, answered time.Time)
}

// addVM adds a machine. Its process is not started yet. Each machine reaches the store by an address
// of its own, so that the record tells their calls apart.
func (w *world) addVM(zone string, seeds []string, bootstrap bool) (*vm, error) {
	n := len(w.vms) + 1
	v := &vm{
		w: w, name: fmt.Sprintf("front-%s-%d", zone, n), ip: netip.AddrFrom4([4]byte{127, 0, 11, byte(n)}),
		zone: zone, seeds: seeds, bootstrap: bootstrap,
	}
	v.logPath = filepath.Join(w.dir, v.name+".log")
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v.storeAt = listener.Addr().String()
	handler := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		started := time.Now()
		w.store.ServeHTTP(rw, r)
		v.mu.Lock()
		onRead := v.onRead
		v.mu.Unlock()
		if onRead != nil {
			onRead(v, started, time.Now())
		}
	})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	w.vms = append(w.vms, v)
	return v, nil
}

func (v *vm) packetAddress() netip.AddrPort { return netip.AddrPortFrom(v.ip, v.w.ports.packets) }
func (v *vm) control() string               { return netip.AddrPortFrom(v.ip, v.w.ports.control).String() }

// start starts the process with the settings of deploy/entry.json.
func (v *vm) start() error {
	template, err := os.ReadFile("deploy/entry.json")
	if err != nil {
		return err
	}
	quote := func(value any) string { text, _ := json.Marshal(value); return string(text) }
	values := map[string]string{
		"name": quote(v.name), "zone": quote(v.zone), "packets": quote(v.packetAddress()),
		"ready": quote(netip.AddrPortFrom(v.ip, v.w.ports.ready)), "control": quote(v.control()),
		"ip": v.ip.String(), "sibling_port": fmt.Sprint(v.w.ports.sibling), "seeds": quote(v.seeds), "store": quote(v.storeAt),
		"max_flow_s": "60", "cpu_share": "0.4", "link_mbps": "1000", "first_start": quote(v.bootstrap),
	}
	text := string(template)
	for placeholder, name := range names.Template {
		text = strings.ReplaceAll(text, placeholder, values[name])
	}
	path := filepath.Join(v.w.dir, v.name+".json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(v.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ALMONDFLOW_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	v.mu.Lock()
	v.cmd, v.startedAt = cmd, time.Now()
	v.mu.Unlock()
	v.w.note("%s started", v.name)
	return nil
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	cmd := v.cmd
	v.mu.Unlock()
	if cmd != nil {
		v.w.note("%s gets %v", v.name, s)
		_ = cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (v *vm) kill() {
	v.mu.Lock()
	cmd := v.cmd
	v.cmd = nil
	v.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// terminate sends SIGTERM and waits for the end, as a planned restart does.
func (v *vm) terminate() {
	v.signal(syscall.SIGTERM)
	v.mu.Lock()
	cmd := v.cmd
	v.cmd = nil
	v.mu.Unlock()
	if cmd != nil {
		_ = cmd.Wait()
		v.w.note("%s ended", v.name)
	}
}

func (v *vm) started0() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.startedAt
}

// waitReady waits until the machine answers the readiness request with 200.
func (v *vm) waitReady() error {
	for range 300 {
		if v.isReady() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", v.name)
}

func (v *vm) isReady() bool {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + netip.AddrPortFrom(v.ip, v.w.ports.ready).String() + names.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// watchReadiness keeps the rotation as the platform does: two checks a second, out after two
// misses, in again with the next 200.
func (v *vm) watchReadiness(done <-chan struct{}) {
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		v.mu.Lock()
		v.checkedAt = time.Now()
		v.mu.Unlock()
		isReady := v.isReady()
		v.mu.Lock()
		was := v.inService
		if isReady {
			v.misses, v.inService = 0, true
		} else if v.misses++; v.misses >= 2 {
			v.inService = false
		}
		now := v.inService
		v.mu.Unlock()
		if was != now {
			v.w.note("router: %s in rotation: %v", v.name, now)
		}
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

func (v *vm) isInService() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.inService
}

// watchOpening tells the first host that an opening reaches.
func (w *world) watchOpening(key inband.Key, placed chan<- string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.openings[key] = placed
}

// tellOpening is called by a host that an opening reached.
func (w *world) tellOpening(key inband.Key, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if placed := w.openings[key]; placed != nil {
		delete(w.openings, key)
		placed <- id
	}
}

// waitForCheck waits until some time after the next readiness request.
func (v *vm) waitForCheck(after time.Duration) {
	last := func() time.Time {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.checkedAt
	}
	for seen := last(); last().Equal(seen); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(time.Until(last().Add(after)))
}
