package front

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/almondflow/almondflow/inband"
)

const (
	// connectTimeout is how long a target has to accept a connection. Those of this VM's failure domain
	// take a few milliseconds.
	connectTimeout = 150 * time.Millisecond
	// secondAttemptAfter is when a second connection is tried, as the first packet of the first may be lost.
	secondAttemptAfter = 75 * time.Millisecond
	// maxTimeoutDelay is how late a timeout may be noticed. A later one means that this VM did not run,
	// and then its timeouts show nothing.
	maxTimeoutDelay = 20 * time.Millisecond
)

// Connector opens TCP connections to targets.
type Connector interface {
	// Connect opens a connection and closes it. It returns an error if the target does not accept it
	// before the context ends.
	Connect(ctx context.Context, address netip.AddrPort) error
}

// tcpConnector is the Connector of the daemon.
type tcpConnector struct{}

// Connect implements Connector. A connection without a request takes no request slot of the target.
func (tcpConnector) Connect(ctx context.Context, address netip.AddrPort) error {
	dialer := net.Dialer{KeepAlive: -1}
	connection, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return err
	}
	return connection.Close()
}

// prober checks by TCP connections whether targets run.
type prober struct {
	connector          Connector
	connectTimeout     time.Duration
	secondAttemptAfter time.Duration
	maxTimeoutDelay    time.Duration
}

func newProber(connector Connector) *prober {
	return &prober{
		connector: connector, connectTimeout: connectTimeout,
		secondAttemptAfter: secondAttemptAfter, maxTimeoutDelay: maxTimeoutDelay,
	}
}

// attempt is what one connection showed.
type attempt struct {
	outcome inband.ProbeOutcome
	err     error
}

var (
	errNoControl   = errors.New("no other target answered meanwhile, so this VM may be the cause")
	errLateTimeout = errors.New("the timeout was noticed late, so this VM may be the cause")
)

// check connects to a target. If nothing comes back, it connects once more, together with the
// controls. The target counts as silent only if neither attempt succeeds and one of the controls answers.
func (p *prober) check(ctx context.Context, probe *inband.TargetProbe) attempt {
	attempts := make(chan attempt, 2)
	go func() { attempts <- p.connect(ctx, probe.Address, p.connectTimeout) }()
	select {
	case first := <-attempts:
		if first.outcome == inband.Silent { // its whole time has passed, so this VM did not run
			return attempt{inband.Inconclusive, errLateTimeout}
		}
		return first
	case <-time.After(p.secondAttemptAfter):
	}
	remaining := p.connectTimeout - p.secondAttemptAfter
	go func() { attempts <- p.connect(ctx, probe.Address, remaining) }()
	controls := make(chan attempt, len(probe.Controls))
	for _, address := range probe.Controls {
		go func() { controls <- p.connect(ctx, address, remaining) }()
	}
	var last attempt
	for range cap(attempts) {
		if last = <-attempts; last.outcome != inband.Silent {
			return last
		}
	}
	for range probe.Controls {
		if control := <-controls; control.outcome == inband.Answered {
			return last
		}
	}
	return attempt{inband.Inconclusive, errNoControl}
}

// connect opens one connection and interprets its error.
func (p *prober) connect(ctx context.Context, address netip.AddrPort, timeout time.Duration) attempt {
	startedAt := time.Now()
	connectContext, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := p.connector.Connect(connectContext, address)
	switch {
	case err == nil:
		return attempt{inband.Answered, nil}
	case errors.Is(err, syscall.ECONNREFUSED):
		return attempt{inband.Refused, err}
	case !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, os.ErrDeadlineExceeded):
		return attempt{inband.Inconclusive, err}
	case time.Since(startedAt) > timeout+p.maxTimeoutDelay:
		return attempt{inband.Inconclusive, errLateTimeout}
	default:
		return attempt{inband.Silent, err}
	}
}
