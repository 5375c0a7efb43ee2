package cmd_test

import (
	"context"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/almondflow/almondflow/cmd"
)

// attempts bounds how often the script command eventually tries again.
const (
	attempts      = 400
	retryInterval = 25 * time.Millisecond
)

// ports are the variables that scripts find free ports in.
var ports = []string{"DATA", "PEER", "OPERATOR", "PLATFORM", "FABRIC", "ROUTE"}

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"almondflow": func() { os.Exit(int(cmd.Run(context.Background(), os.Args, os.Stdout, os.Stderr))) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(ts *testscript.TestScript, negated bool, arguments []string){
			"eventually": eventually,
			"expand":     expand,
		},
	})
}

func setup(env *testscript.Env) error {
	for _, name := range ports {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		// All stay bound until each has its own port.
		defer func() { _ = listener.Close() }()
		env.Setenv(name, listener.Addr().String())
		_, port, _ := net.SplitHostPort(listener.Addr().String())
		env.Setenv(name+"_PORT", port)
	}
	return nil
}

// eventually runs a program again and again until it succeeds and prints the text:
// eventually 'text' program arguments...
func eventually(ts *testscript.TestScript, negated bool, arguments []string) {
	if negated || len(arguments) < 2 {
		ts.Fatalf("usage: eventually text program arguments...")
	}
	for range attempts {
		if err := ts.Exec(arguments[1], arguments[2:]...); err == nil && strings.Contains(ts.ReadFile("stdout"), arguments[0]) {
			return
		}
		time.Sleep(retryInterval)
	}
	ts.Fatalf("%v never printed %q", arguments[1:], arguments[0])
}

// expand replaces variables in files.
func expand(ts *testscript.TestScript, _ bool, files []string) {
	for _, file := range files {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}
