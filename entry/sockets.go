package entry

import (
	"context"
	"net"
	"net/netip"

	"github.com/samber/oops"

	"github.com/almondflow/almondflow/fabric"
	"github.com/almondflow/almondflow/result"
)

// sockets are what a daemon binds before it does anything else.
type sockets struct {
	data             []*fabric.UDP
	peerListener     net.Listener
	operatorListener net.Listener
}

// bind binds all sockets or none.
func bind(config *Config) (*sockets, error) {
	s := &sockets{}
	ctx := context.Background()
	if err := s.bindData(ctx, config); err != nil {
		return nil, portInUse(err, "data_address", config.DataAddress)
	}
	listen := net.ListenConfig{}
	var err error
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

// bindData first binds a socket of its own, since the sockets of the workers share their
// port, also with those of another daemon.
func (s *sockets) bindData(ctx context.Context, config *Config) error {
	exclusive, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", config.DataAddress.String())
	if err != nil {
		return err
	}
	_ = exclusive.Close()
	s.data, err = fabric.Listen(ctx, config.DataAddress, config.Workers)
	return err
}

func portInUse(err error, field string, address netip.AddrPort) error {
	return oops.Code(result.PortInUse).With("field", field).Wrapf(err, "settings: $.%s = %q", field, address.String())
}

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
