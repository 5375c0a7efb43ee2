package demo

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// progress writes lines that begin with the time since the start, in seconds.
type progress struct {
	mu    sync.Mutex
	w     io.Writer
	start time.Time
}

func newProgress(w io.Writer) *progress {
	return &progress{w: w, start: time.Now()}
}

func (p *progress) printf(format string, arguments ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintf(p.w, "%6.1fs %s\n", time.Since(p.start).Seconds(), fmt.Sprintf(format, arguments...))
}
