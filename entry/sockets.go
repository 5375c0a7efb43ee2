package entry

import (
	"context"
	"net"
	"net/netip"

	"github.com/samber/oops"

	"github.com/almondflow/almondflow/fabric"
	"github.com/almondflow/almondflow/result"
)

// sockets holds the bound sockets of a daemon.
type sockets struct {
	data             []*fabric.UDP
	peerListener     net.Listener
	operatorListener net.Listener
}

// bind binds all sockets. If one fails, it closes the others and returns an error with the
// code PortInUse.
func bind(ctx context.Context, config *Config) (*sockets, error) {
	s := &sockets{}
	var err error
	if s.data, err = fabric.Listen(ctx, config.DataAddress, config.Workers); err != nil {
		return nil, portInUse(err, "data_address", config.DataAddress)
	}
	listen := net.ListenConfig{}
	if s.peerListener, err = listen.Listen(ctx, "tcp", config.PeerAddress.String()); err != nil {
		s.close()
		return nil, portInUse(err, "peer_address", config.PeerAddress)
	}
	if s.operatorListener, err = listen.Listen(ctx, "tcp", config.OperatorAddress.String()); err != nil {
		s.close()
		return nil, portInUse(err, "operator_address", config.OperatorAddress)
	}
	return s, nil
}

// portInUse wraps the error of binding the address in a field of the settings.
func portInUse(err error, field string, address netip.AddrPort) error {
	return oops.Code(result.PortInUse).With("field", field).Wrapf(err, "settings: $.%s = %q", field, address.String())
}

// close closes the sockets that are bound.
func (s *sockets) close() {
	for _, conn := range s.data {
		_ = conn.Close()
	}
	for _, listener := range []net.Listener{s.peerListener, s.operatorListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
