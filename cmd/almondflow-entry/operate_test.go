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
			is := is.New(t)
			var out, errorOutput bytes.Buffer
			code := cmd.Run(context.Background(), append([]string{"almondflow", "front"}, tt.arguments...), &out, &errorOutput)
			is.Equal(code, tt.code)
			for _, want := range tt.want {
				if !strings.Contains(out.String()+errorOutput.String(), want) {
					t.Errorf("no %q in:\n%s%s", want, out.String(), errorOutput.String())
				}
			}
		})
	}
}
