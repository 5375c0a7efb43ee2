package cmd_test

import (
	"context"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/almondflow/almondflow/cmd"
)

// Limits of the script command eventually.
const (
	maxAttempts   = 400
	retryInterval = 25 * time.Millisecond
)

// firstScriptOctet is below the second octet of the addresses on which scripts listen.
const firstScriptOctet = 64

// scriptCount numbers the scripts, which run at the same time.
var scriptCount atomic.Int32

// portVariables are the environment variables that provide scripts with addresses of free
// ports. NAME holds the address, NAME_PORT the port alone.
var portVariables = []string{"DATA", "PEER", "OPERATOR", "PLATFORM", "FABRIC", "ROUTE"}

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

// setup reserves a port for each variable, on a loopback address that no other test uses: a port that
// is free for TCP may be in use for UDP, which some daemons bind, and others may take it before the
// script does.
func setup(env *testscript.Env) error {
	scripts := scriptCount.Add(1)
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, firstScriptOctet + byte(scripts), byte(pid >> 8), byte(pid)})
	for _, name := range portVariables {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
		if err != nil {
			return err
		}
		// Each listener stays open until setup returns, so that all ports differ.
		defer func() { _ = listener.Close() }()
		env.Setenv(name, listener.Addr().String())
		_, port, _ := net.SplitHostPort(listener.Addr().String())
		env.Setenv(name+"_PORT", port)
	}
	return nil
}

// eventually runs a program until it succeeds and its output contains the text, or, if it is negated, until it fails
// and its error output contains the text:
// eventually 'text' program arguments...
func eventually(ts *testscript.TestScript, negated bool, arguments []string) {
	if len(arguments) < 2 {
		ts.Fatalf("usage: [!] eventually text program arguments...")
	}
	output := "stdout"
	if negated {
		output = "stderr"
	}
	for range maxAttempts {
		hasFailed := ts.Exec(arguments[1], arguments[2:]...) != nil
		if hasFailed == negated && strings.Contains(ts.ReadFile(output), arguments[0]) {
			return
		}
		time.Sleep(retryInterval)
	}
	ts.Fatalf("%v never printed %q", arguments[1:], arguments[0])
}

// expand replaces environment variables in files.
func expand(ts *testscript.TestScript, _ bool, files []string) {
	for _, file := range files {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}
