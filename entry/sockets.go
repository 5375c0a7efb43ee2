package entry

import (
	"context"
	"net"

	"github.com/samber/oops"

	"github.com/almondflow/almondflow/result"
)

// socketBuffer is the size asked of the kernel for the buffers of the data socket, in
// bytes.
const socketBuffer = 4 << 20

// sockets are what a daemon binds before it does anything else.
type sockets struct {
	data             *net.UDPConn
	peerListener     net.Listener
	operatorListener net.Listener
}

// bind binds all sockets or none.
func bind(config *Config) (*sockets, error) {
	s := &sockets{}
	listen := net.ListenConfig{}
	ctx := context.Background()
	data, err := listen.ListenPacket(ctx, "udp", config.DataAddress.String())
	if err != nil {
		return nil, portInUse(err, "data_address", config.DataAddress.String())
	}
	s.data = data.(*net.UDPConn)
	_ = s.data.SetReadBuffer(socketBuffer)
	_ = s.data.SetWriteBuffer(socketBuffer)
	if s.peerListener, err = listen.Listen(ctx, "tcp", config.PeerAddress.String()); err != nil {
		s.close()
		return nil, portInUse(err, "peer_address", config.PeerAddress.String())
	}
	if s.operatorListener, err = listen.Listen(ctx, "tcp", config.OperatorAddress.String()); err != nil {
		s.close()
		return nil, portInUse(err, "operator_address", config.OperatorAddress.String())
	}
	return s, nil
}

func portInUse(err error, field, address string) error {
	return oops.Code(result.PortInUse).With("field", field).Wrapf(err, "settings: $.%s = %q", field, address)
}

func (s *sockets) close() {
	if s.data != nil {
		_ = s.data.Close()
	}
	if s.peerListener != nil {
		_ = s.peerListener.Close()
	}
	if s.operatorListener != nil {
		_ = s.operatorListener.Close()
	}
}
