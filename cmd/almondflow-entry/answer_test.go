package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validSettings = `{"name":"front-a-1","domain":"a","packet_address":"127.0.0.1:1","readiness_address":"127.0.0.1:2",
"operator_address":"127.0.0.1:3","sibling_address":"127.0.0.1:4","seeds":[],"store_address":"127.0.0.1:5",
"policy":"local","log_lines_per_second":10,"flow_lifetime_seconds":60,"stop_ms":1500,"max_flows":1000,
"cpu_share":0.1,"link_mbps":10}`

func TestOptions(t *testing.T) {
	directory := t.TempDir()
	valid, invalid := filepath.Join(directory, "valid.json"), filepath.Join(directory, "invalid.json")
	for path, text := range map[string]string{valid: validSettings, invalid: strings.Replace(validSettings, "local", "fair", 1)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	tests := []struct {
		name        string
		arguments   []string
		code        int
		out, errOut string // parts of the output
	}{
		{"help", []string{"--help"}, exitOK, settingsVariable, ""},
		{"version", []string{"--version"}, exitOK, "almondflow-entry ", ""},
		{"valid settings", []string{"--check", valid}, exitOK, "accepted: entry VM front-a-1 in a, policy local", ""},
		{"invalid settings", []string{"--check", invalid}, exitSettingsInvalid, "", `policy must be "local" or "naive"`},
		{"missing settings", []string{"--check", filepath.Join(directory, "missing.json")}, exitSettingsInvalid, "", "missing.json"},
		{"check without a file", []string{"--check"}, exitUsage, "", "Usage:"},
		{"unknown option", []string{"--port"}, exitUsage, "", `unknown arguments ["--port"]`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var out, errOut bytes.Buffer
			is.Equal(answer(tt.arguments, &out, &errOut), tt.code)
			is.True(strings.Contains(out.String(), tt.out))
			is.True(strings.Contains(errOut.String(), tt.errOut))
			is.Equal(out.Len() == 0, tt.out == "")
			is.Equal(errOut.Len() == 0, tt.errOut == "")
		})
	}
}

// Without settings the daemon says which variable has to name them.
func TestRunNamesTheMissingVariable(t *testing.T) {
	is := is.New(t)
	t.Setenv(settingsVariable, "")
	err := run()
	is.Equal(err, errNoSettings)
}
