package front

import (
	"bytes"
	"runtime"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// schedulingRounds is how often other goroutines get the processor before a test assumes that
// they wait.
const schedulingRounds = 10_000

// blockedOutput is an output whose first write blocks until it is released.
type blockedOutput struct {
	entered chan struct{}
	release chan struct{}
	first   sync.Once
	mu      sync.Mutex
	text    bytes.Buffer
}

func newBlockedOutput() *blockedOutput {
	return &blockedOutput{entered: make(chan struct{}), release: make(chan struct{})}
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	o.first.Do(func() {
		close(o.entered)
		<-o.release
	})
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// The daemon flushes its log when it stops. If the writing goroutine is just then writing the
// last lines, the flush must not return before they are written: the process ends next.
func TestFlushWaitsForLinesBeingWritten(t *testing.T) {
	is := is.New(t)
	w, out := newAsyncWriter(), newBlockedOutput()
	done, runEnded, flushed := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	go func() {
		w.run(out, done)
		close(runEnded)
	}()
	_, err := w.Write([]byte("msg=stopped\n"))
	is.NoErr(err)
	<-out.entered // run is writing
	go func() { flushed <- w.flush(out) }()
	for range schedulingRounds {
		runtime.Gosched()
	}
	hasReturned := len(flushed) > 0
	close(out.release)
	close(done)
	<-runEnded
	is.NoErr(<-flushed)
	is.True(!hasReturned) // flush returned while a line was being written
	is.Equal(out.text.String(), "msg=stopped\n")
}
