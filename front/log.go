package front

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
)

// maxBufferedBytes limits the log lines that wait for a slow reader.
const maxBufferedBytes = 64 << 10

// asyncWriter buffers log lines for another writer, so that logging never blocks. Lines that
// exceed the buffer are dropped and counted.
type asyncWriter struct {
	// writeMu is held while lines are written to the output. It is locked before mu.
	writeMu  sync.Mutex
	mu       sync.Mutex // guards buffered
	buffered []byte
	spare    []byte // the buffer that was written last; guarded by writeMu
	wake     chan struct{}
	dropped  atomic.Int64
}

func newAsyncWriter() *asyncWriter {
	return &asyncWriter{wake: make(chan struct{}, 1)}
}

// Write buffers one line. It never fails or blocks.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buffered)+len(line) > maxBufferedBytes {
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buffered = append(w.buffered, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// flush writes the buffered lines. If another goroutine is writing lines, it waits until they are
// written, as its caller may end the process.
func (w *asyncWriter) flush(out io.Writer) error {
	w.writeMu.Lock()
	defer w.writeMu.Unlock()
	w.mu.Lock()
	w.buffered, w.spare = w.spare[:0], w.buffered
	lines := w.spare
	w.mu.Unlock()
	if len(lines) == 0 {
		return nil
	}
	_, err := out.Write(lines)
	return err
}

// run writes buffered lines until done is closed. An error of the output ends the logging, but
// not the daemon.
func (w *asyncWriter) run(out io.Writer, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-w.wake:
			if err := w.flush(out); err != nil {
				w.dropped.Add(1)
				return
			}
		}
	}
}

// newLogger returns a logger of key=value lines. The lines omit the wall clock time, which may
// jump; times are logged in milliseconds since the start of the process.
func newLogger(w io.Writer) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				return slog.Attr{}
			}
			return a
		},
	}))
}
