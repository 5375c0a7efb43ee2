package cmd

import (
	"io"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/result"
)

// Guards against a SIGHUP that ends the process because it arrives before the command serves or
// after it began to drain. The settings are a pipe, so the first signal arrives while the command
// waits for them; the second one arrives after its end. Without a handler each ends the test.
func TestHangUpOutsideServing(t *testing.T) {
	is := is.New(t)
	path := t.TempDir() + "/settings.json"
	is.NoErr(syscall.Mkfifo(path, 0o600))
	ended := make(chan result.Code, 1)
	go func() {
		ended <- Run(t.Context(), []string{"almondflow", "entry", "--settings", path}, io.Discard, io.Discard)
	}()
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // waits until the command opens it
	is.NoErr(err)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	_, err = pipe.WriteString("{")
	is.NoErr(err)
	is.NoErr(pipe.Close())
	is.True(<-ended != result.OK)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
}
