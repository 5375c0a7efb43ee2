package main

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/cmd"
	"github.com/almondflow/almondflow/result"
)

// Runs the commands that docs/operate/users-platform.md describes.
func TestOperatorCommands(t *testing.T) {
	d := newDeployment(t)
	daemon := d.startDaemon("vm-1")
	d.addHost(1, daemon.Addresses().Packets.Port())
	awaitReady(t, daemon)
	awaitStatus(t, daemon, `"id":"i-00000001"`)
	operatorAddress := daemon.Addresses().Operator
	tests := []struct {
		name      string
		arguments []string
		code      result.Code
		want      []string
	}{
		{"status", []string{"status", "--daemon", operatorAddress}, result.OK, []string{"vm-1", "tables_version", "view_age_ms", "target i-00000001", "serving"}},
		{"status in JSON", []string{"status", "--daemon", operatorAddress, "--json"}, result.OK, []string{`"ready": true`}},
		{"explain", []string{"explain", "--daemon", operatorAddress, "100.64.0.7:40001", feedAddress.String()}, result.OK, []string{"feed", "i-00000001"}},
		{"explain without a route", []string{"explain", "--daemon", operatorAddress, "100.64.0.7:40001", "198.18.0.9:1"}, result.NotFound, []string{"no route"}},
		{"audit", []string{"audit", "--daemon", operatorAddress}, result.OK, []string{"view", "store"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			checkFrontCommand(t, tt.arguments, tt.code, tt.want)
		})
	}
}

// The commands show an operator that a failure domain is drained.
func TestOperatorCommandsDuringADrain(t *testing.T) {
	d := newDeployment(t)
	daemon := d.startDaemon("vm-1")
	d.addHost(1, daemon.Addresses().Packets.Port())
	awaitReady(t, daemon)
	awaitStatus(t, daemon, `"id":"i-00000001"`)
	is.New(t).NoErr(d.store.PutDrain("a"))
	awaitStatus(t, daemon, `"drains":[{"domain":"a"`)
	operatorAddress := daemon.Addresses().Operator
	tests := []struct {
		name      string
		arguments []string
		want      []string
	}{
		{"status", []string{"status", "--daemon", operatorAddress}, []string{"domain a ", "drained since revision "}},
		{"explain", []string{"explain", "--daemon", operatorAddress, "100.64.0.7:40001", feedAddress.String()}, []string{"domain a  drained"}},
		{"audit", []string{"audit", "--daemon", operatorAddress}, []string{"domain a", "not drained", "store"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { checkFrontCommand(t, tt.arguments, result.OK, tt.want) })
	}
}

// checkFrontCommand checks the code and parts of the output of a command that queries a daemon.
func checkFrontCommand(t *testing.T, arguments []string, code result.Code, want []string) {
	t.Helper()
	var out, errorOutput bytes.Buffer
	is.New(t).Equal(cmd.Run(context.Background(), append([]string{"almondflow", "front"}, arguments...), &out, &errorOutput), code)
	for _, text := range want {
		if !strings.Contains(out.String()+errorOutput.String(), text) {
			t.Errorf("no %q in:\n%s%s", text, out.String(), errorOutput.String())
		}
	}
}
