package main

import (
	"bufio"
	"encoding/json"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/almondflow/almondflow/platform/standin"
)

const bareProgram = `package main

import "net"

func main() {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		panic(err)
	}
	println("msg=ready", conn.LocalAddr().String())
}
`

// BenchmarkStart measures the processor time from exec to the first view and compares it with a
// program that only binds a socket. It reports the median of 20 starts of each in milliseconds.
func BenchmarkStart(b *testing.B) {
	const starts = 20
	directory := b.TempDir()
	store := standin.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	settings := filepath.Join(directory, "settings.json")
	text, err := json.Marshal(map[string]any{
		"name": "x", "domain": "a", "packet_address": "127.0.0.1:0", "readiness_address": "127.0.0.1:0",
		"operator_address": "127.0.0.1:0", "sibling_address": "127.0.0.1:0", "seeds": []string{},
		"store_address": strings.TrimPrefix(server.URL, "http://"), "policy": "local", "log_lines_per_second": 10,
		"flow_lifetime_seconds": 60, "stop_ms": 0, "max_flows": 1000, "cpu_share": 1, "link_mbps": 100,
	})
	if err == nil {
		err = os.WriteFile(settings, text, 0o600)
	}
	if err == nil {
		err = store.PutTables(1, "core")
	}
	if err != nil {
		b.Fatal(err)
	}
	bare := filepath.Join(directory, "bare.go")
	if err := os.WriteFile(bare, []byte(bareProgram), 0o600); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		startTime := medianStart(b, build(b, directory, "entry", "."), settings, starts)
		bareTime := medianStart(b, build(b, directory, "bare", bare), settings, starts)
		b.ReportMetric(startTime, "ms/start")
		b.ReportMetric(bareTime, "ms/bare")
		b.ReportMetric(startTime/bareTime, "ratio")
	}
}

func build(b *testing.B, directory, name, source string) string {
	b.Helper()
	path := filepath.Join(directory, name)
	out, err := exec.Command("go", "build", "-ldflags=-s -w -linkmode=external", "-o", path, source).CombinedOutput() //nolint:gosec // builds this package
	if err != nil {
		b.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// medianStart starts a program repeatedly, kills it once it logs that it is ready, and returns the
// median processor time in milliseconds.
func medianStart(b *testing.B, path, settings string, starts int) float64 {
	b.Helper()
	var times []time.Duration
	for range starts {
		command := exec.Command(path) //nolint:gosec // the program under test
		command.Env = []string{settingsVariable + "=" + settings, "GOMAXPROCS=1"}
		reader, writer, err := os.Pipe()
		if err != nil {
			b.Fatal(err)
		}
		command.Stdout, command.Stderr = writer, writer
		if err := command.Start(); err != nil {
			b.Fatal(err)
		}
		_ = writer.Close()
		for lines := bufio.NewScanner(reader); lines.Scan(); {
			if strings.Contains(lines.Text(), "msg=ready") {
				break
			}
		}
		_ = command.Process.Signal(syscall.SIGKILL) // the bare program may have exited
		_ = command.Wait()
		_ = reader.Close()
		times = append(times, command.ProcessState.UserTime()+command.ProcessState.SystemTime())
	}
	slices.Sort(times)
	return float64(times[len(times)/2].Microseconds()) / 1000
}
