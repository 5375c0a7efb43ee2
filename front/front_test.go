package front

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/catalog"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

const validSettings = `{"name":"front-a-1","domain":"a","packet_address":"127.0.0.1:0","readiness_address":"127.0.0.1:0",
	"operator_address":"127.0.0.1:0","sibling_address":"127.0.0.1:0","seeds":["10.1.0.10:8166"],"store_address":"127.0.0.1:1",
	"policy":"naive","log_lines_per_second":3,"flow_lifetime_seconds":60,"stop_ms":0,"max_flows":10,"cpu_share":0.061,"link_mbps":10.0}`

func TestParseSettings(t *testing.T) {
	tests := []struct{ name, from, to, want string }{
		{"policy", `"naive"`, `"fair"`, `policy must be "local" or "naive"`},
		{"address", `"packet_address":"127.0.0.1:0"`, `"packet_address":"[::1]:0"`, "packet_address must be an IPv4 address"},
		{"unknown name", `"policy"`, `"polcy"`, `unknown object member name "polcy"`},
		{"name in another case", `"policy"`, `"Policy"`, `unknown object member name "Policy"`},
		{"name twice", `"max_flows":10`, `"max_flows":10,"max_flows":20`, `duplicate object member name "max_flows"`},
		{"text after the settings", `"link_mbps":10.0}`, `"link_mbps":10.0} {}`, "decode settings"},
		{"type", `"stop_ms":0`, `"stop_ms":"0"`, "decode settings"},
		{"limit", `"max_flows":10`, `"max_flows":0`, "max_flows must be at least 1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseSettings([]byte(strings.Replace(validSettings, tt.from, tt.to, 1)))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want))
		})
	}
	s, err := ParseSettings([]byte(validSettings))
	is := is.New(t)
	is.NoErr(err)
	is.Equal(s.Seeds[0].Port(), uint16(8166))
}

func TestCapacityOrdersByLink(t *testing.T) {
	is := is.New(t)
	small := Settings{LinkMbps: 10, CPUShare: 0.8}
	large := Settings{LinkMbps: 200, CPUShare: 0.061}
	is.True(large.capacity() > small.capacity())
	is.Equal(large.capacity(), (&Settings{LinkMbps: 200, CPUShare: 0.061}).capacity())
}

// If nothing reads the log, excess lines are dropped and counted and writes do not block.
func TestAsyncWriterDropsExcessLines(t *testing.T) {
	is := is.New(t)
	w := newAsyncWriter()
	line := bytes.Repeat([]byte("x"), 1023)
	line = append(line, '\n')
	const lines = 100
	for range lines {
		n, err := w.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	written := maxBufferedBytes / len(line)
	is.Equal(w.dropped.Load(), int64(lines-written))
	var out bytes.Buffer
	is.NoErr(w.flush(&out))
	is.Equal(out.Len(), written*len(line))
	is.NoErr(w.flush(&out)) // the buffer is empty
	is.Equal(out.Len(), written*len(line))
}

func TestLineLimiter(t *testing.T) {
	is := is.New(t)
	limiter := newLineLimiter(3)
	allowed := 0
	for range 10 {
		if limiter.allow() {
			allowed++
		}
	}
	is.Equal(allowed, 3)
	is.Equal(limiter.refill(500*clock.Millisecond), 0) // too early
	is.Equal(limiter.refill(clock.Second), 7)
	is.True(limiter.allow())
}

func TestAuditTrailKeepsNewest(t *testing.T) {
	is := is.New(t)
	var trail auditTrail
	for i := range maxTrailRecords + 10 {
		trail.add(AuditRecord{AtMS: clock.Millis(i)})
	}
	list := trail.list()
	is.Equal(len(list), maxTrailRecords)
	is.Equal(list[0].AtMS, clock.Millis(10))
	is.Equal(list[maxTrailRecords-1].AtMS, clock.Millis(maxTrailRecords+9))
}

// newDaemon returns a daemon with valid settings, whose sockets are closed when the test ends.
func newDaemon(t *testing.T, options Options) *Daemon {
	t.Helper()
	is := is.New(t)
	s, err := ParseSettings([]byte(validSettings))
	is.NoErr(err)
	d, err := New(s, options)
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(d.sockets.close()) })
	return d
}

func TestReloadIgnoresInvalidSettings(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, Options{})
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, []byte(strings.Replace(validSettings, `"max_flows":10`, `"max_flows":0`, 1)), 0o600))
	d.Reload(path)
	is.Equal(d.settings.Load().LogLinesPerSecond, 3)
	is.NoErr(os.WriteFile(path, []byte(strings.Replace(validSettings, `"log_lines_per_second":3`, `"log_lines_per_second":8`, 1)), 0o600))
	d.Reload(path)
	is.Equal(d.settings.Load().LogLinesPerSecond, 8)
	is.Equal(d.auditTrail.list()[0].Subject, "settings")
}

// The platform may change the settings file without a signal.
func TestChangedSettingsFileIsReloaded(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, []byte(validSettings), 0o600))
	d := newDaemon(t, Options{SettingsPath: path})
	d.reloadChanged()
	d.reloadChanged()
	is.Equal(len(d.auditTrail.list()), 0) // nothing changed
	is.NoErr(os.WriteFile(path, []byte(strings.Replace(validSettings, `"stop_ms":0`, `"stop_ms":700`, 1)), 0o600))
	d.reloadChanged()
	is.Equal(d.settings.Load().StopMS, 700*clock.Millisecond)
	is.NoErr(os.Remove(path))
	d.reloadChanged()
	is.Equal(d.settings.Load().StopMS, 700*clock.Millisecond)
}

func TestNewFailsOnPortInUse(t *testing.T) {
	is := is.New(t)
	s, err := ParseSettings([]byte(validSettings))
	is.NoErr(err)
	first, err := New(s, Options{})
	is.NoErr(err)
	defer func() { is.NoErr(first.sockets.close()) }()
	second := *s
	second.ReadinessAddress = netip.MustParseAddrPort(first.sockets.readiness.Addr().String())
	_, err = New(&second, Options{})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "bind TCP"))
}

// docs/METRICS-FRONT.md lists the same metrics as the code.
func TestMetricsPageMatchesCode(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../docs/METRICS-FRONT.md")
	is.NoErr(err)
	var want []string
	for _, m := range AllMetrics() {
		want = append(want, fmt.Sprintf("| %s | %s | %s | %s |", m.Name, m.Type, m.Unit, m.Meaning))
	}
	is.Equal(regexp.MustCompile(`(?m)^\| almondflow_.*\|$`).FindAllString(string(text), -1), want)
}

func TestHistogramLines(t *testing.T) {
	is := is.New(t)
	lines := histogramLines("x", map[float64]int64{1: 2, 5: 3})
	is.Equal(lines, []string{`x_bucket{le="1"} 2`, `x_bucket{le="5"} 5`, `x_count 5`})
}

// When many VMs start at once, the complete view is compressed once for all of them.
func TestCompleteViewIsCached(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t, Options{})
	fake := &clock.Fake{}
	d.clock = fake
	body, _, err := d.compressedView(0, 0)
	is.NoErr(err)
	is.True(body == nil) // there is no view yet
	d.catalog.Replace(0, 0, &catalog.Changes{Tables: &inband.Tables{Version: 3}, Revision: 9})
	fake.Advance(100)
	first, age, err := d.compressedView(0, 0)
	is.NoErr(err)
	is.Equal(age, clock.Millis(100))
	fake.Advance(200)
	second, age, err := d.compressedView(0, 0)
	is.NoErr(err)
	is.True(&first[0] == &second[0])
	is.Equal(age, clock.Millis(300)) // the age keeps growing
	fake.Advance(clock.Second)
	third, _, err := d.compressedView(0, 0)
	is.NoErr(err)
	is.True(&first[0] != &third[0])
	delta, _, err := d.compressedView(3, 9)
	is.NoErr(err)
	is.True(len(delta) > 0 && &delta[0] != &third[0])
}
