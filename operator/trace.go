package operator

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
)

// maxLogLineBytes exceeds the length of any line that a daemon logs.
const maxLogLineBytes = 1 << 20

// Trace collects the log lines about one flow or one target from the logs of several VMs, in any order.
type Trace struct {
	client string // address and port of the flow's client, or empty
	target string // id of the target, or empty
	lines  []*LogLine
	// beliefs are lines about targets and probes of them, which belong to the story of a flow that went to
	// them.
	beliefs        []*LogLine
	malformed      int
	firstMalformed string
}

// NewFlowTrace returns a trace of the flows of a client's address and port.
func NewFlowTrace(client string) *Trace { return &Trace{client: client} }

// NewTargetTrace returns a trace of a target.
func NewTargetTrace(target string) *Trace { return &Trace{target: target} }

// Read adds the log of a VM, or of several if the platform put their names before the lines. It returns
// an error if the log cannot be read. Lines that are no log lines are counted.
func (t *Trace) Read(log io.Reader, vm string) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if strings.TrimSpace(scanner.Text()) != "" {
			t.add(scanner.Text(), vm)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read log of %s: %w", vm, err)
	}
	return nil
}

func (t *Trace) add(text, vm string) {
	line, err := ParseLogLine(text, vm)
	if err != nil {
		if t.malformed == 0 {
			t.firstMalformed = fmt.Sprintf("%v: %s", err, text)
		}
		t.malformed++
		return
	}
	subject, isTarget := strings.CutPrefix(line.Field("subject"), "target ")
	switch {
	case t.client != "" && line.Field("client") == t.client:
		t.lines = append(t.lines, line)
	case t.target != "" && (line.Field("target") == t.target || line.Field("silent_target") == t.target || isTarget && subject == t.target):
		t.lines = append(t.lines, line)
	case t.client != "" && (isTarget || isProbe(line)):
		t.beliefs = append(t.beliefs, line)
	}
}

// Lines returns the lines of the trace in the order of time. Those of a flow include what the VMs that
// saw it believed of its targets.
func (t *Trace) Lines() []*LogLine {
	all := slices.Clone(t.lines)
	for _, belief := range t.beliefs {
		if t.concerns(belief) {
			all = append(all, belief)
		}
	}
	slices.SortStableFunc(all, func(a, b *LogLine) int { return cmp.Compare(a.Seconds, b.Seconds) })
	return all
}

// isProbe reports whether a line is about what a probe of a suspected target showed.
func isProbe(line *LogLine) bool {
	return line.Message == "probe_told" || line.Message == "target_probed" && line.Field("cause") != "first_contact"
}

// concerns reports whether a belief is about a target of the flow, at a VM that saw the flow. Probes
// concern it wherever they were sent, as VMs tell each other what they showed.
func (t *Trace) concerns(belief *LogLine) bool {
	id := cmp.Or(belief.Field("target"), strings.TrimPrefix(belief.Field("subject"), "target "))
	return slices.ContainsFunc(t.lines, func(line *LogLine) bool {
		isNear := line.VM == belief.VM || belief.Message == "target_probed"
		return isNear && (line.Field("target") == id || line.Field("silent_target") == id)
	})
}

// Malformed returns the number of lines that are no log lines, and the first of them with the reason.
func (t *Trace) Malformed() (count int, first string) { return t.malformed, t.firstMalformed }
