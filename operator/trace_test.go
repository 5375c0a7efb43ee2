package operator_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/operator"
)

const traceLog = `  24.1873 front-a-1 level=INFO msg=flow_unanswered at_ms=21024 client=100.66.0.26:1068 service=198.18.0.1:8080 target=i-1 silent_target="" view_age_ms=846
  23.9805 front-a-1 level=INFO msg=flow_placed at_ms=20817 client=100.66.0.26:1068 service=198.18.0.1:8080 target=i-1 silent_target="" view_age_ms=639
  24.3517 front-b-1 level=INFO msg=flow_target_dead at_ms=21188 client=100.66.0.22:1039 service=198.18.0.1:8443 target=i-1 silent_target=""
  27.4239 front-a-1 level=INFO msg=believes at_ms=24260 subject="target i-1" before=serving after=gone source=store
  27.5000 front-b-1 level=INFO msg=believes at_ms=24300 subject="target i-1" before=serving after=gone source=10.1.0.1:7700
  24.2100 front-b-1 level=INFO msg=target_probed at_ms=21050 target=i-1 cause=report outcome=silent
  24.2110 front-a-1 level=INFO msg=probe_told at_ms=21051 target=i-1 outcome=silent from=10.1.0.1:7700
  24.2110 front-b-1 level=INFO msg=probe_told at_ms=21051 target=i-1 outcome=silent from=10.1.0.1:7700
  12.0000 front-b-1 level=INFO msg=target_probed at_ms=9000 target=i-1 cause=first_contact outcome=answered
  24.2200 front-b-1 level=INFO msg=target_probed at_ms=21060 target=i-2 cause=report outcome=silent
what happened
  28.0000 front-a-1 level=INFO msg=flow_placed at_ms=25000 client="100.66
`

// A trace of a flow is ordered by time and includes what the VMs that saw it believed of its target, and
// what probes of it showed.
// A trace of a target includes the lines of all VMs.
func TestTrace(t *testing.T) {
	tests := []struct {
		name  string
		trace *operator.Trace
		want  string // VM and message of each line
	}{
		{"flow", operator.NewFlowTrace("100.66.0.26:1068"), "front-a-1 flow_placed, front-a-1 flow_unanswered, front-b-1 target_probed, front-a-1 probe_told, front-a-1 believes"},
		{"target", operator.NewTargetTrace("i-1"), "front-b-1 target_probed, front-a-1 flow_placed, front-a-1 flow_unanswered, front-b-1 target_probed, front-a-1 probe_told, front-b-1 probe_told, front-b-1 flow_target_dead, front-a-1 believes, front-b-1 believes"},
		{"unknown flow", operator.NewFlowTrace("100.66.0.26:1"), ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(tt.trace.Read(strings.NewReader(traceLog), "file"))
			var got []string
			for _, line := range tt.trace.Lines() {
				got = append(got, line.VM+" "+line.Message)
			}
			is.Equal(strings.Join(got, ", "), tt.want)
			count, first := tt.trace.Malformed()
			is.Equal(count, 2)
			is.Equal(first, "no level: what happened")
		})
	}
}

// Without a prefix of the platform, the time is that since the start of the process.
func TestLogLineWithoutPrefix(t *testing.T) {
	is := is.New(t)
	line, err := operator.ParseLogLine(`level=WARN msg=paused at_ms=1500 for_ms=4000 note="a \"b\" c"`, "front-a-1")
	is.NoErr(err)
	is.Equal(line.Seconds, 1.5)
	is.Equal(line.VM, "front-a-1")
	is.Equal(line.Field("note"), `a "b" c`)
	is.Equal(line.Field("none"), "")
}

func FuzzParseLogLine(f *testing.F) {
	for _, text := range strings.Split(traceLog, "\n") {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		line, err := operator.ParseLogLine(text, "vm")
		if (line == nil) == (err == nil) {
			t.Fatal("want either a line or an error")
		}
	})
}
