package peers

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/member"
)

// Limits of the server and of its connections.
const (
	maxMessageBytes = 64 << 10
	windowBytes     = 64 << 10
	maxStreams      = 64
	// maxConnectionAge limits the time for which a caller is trusted after one handshake.
	maxConnectionAge = time.Hour
	// limiterPollInterval is the time between two attempts of a pull that is rate limited.
	limiterPollInterval = 100 * time.Millisecond
)

// Handler handles the calls of other daemons. It must be safe for concurrent use.
type Handler interface {
	// Exchange handles a message and returns the answer, or nil if there is none.
	Exchange(ctx context.Context, from fleet.ID, m *member.Message) *member.Message
	// Document returns the newest version of a document, or a delta to it from version
	// since. It returns false if there is no version newer than since.
	Document(name string, since uint64) (Document, bool)
	// Repair handles encoded flow records and returns how many it accepted.
	Repair(from fleet.ID, records [][]byte) int
}

// Server serves the calls of other daemons.
type Server struct {
	UnimplementedPeersServer
	options
	handler Handler
	grpc    *grpc.Server
}

// NewServer returns a server that requires callers to have a certificate of the fleet. If
// identity is nil, the server uses no TLS, trusts every caller and listens on loopback
// addresses only.
func NewServer(identity *IdentityHolder, handler Handler, opts ...Option) *Server {
	s := &Server{options: newOptions(opts), handler: handler}
	c := insecure.NewCredentials()
	if identity != nil {
		c = identity.serverCredentials()
	}
	s.grpc = grpc.NewServer(
		grpc.Creds(c),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionAge: maxConnectionAge}),
	)
	s.insecure = identity == nil
	RegisterPeersServer(s.grpc, s)
	return s
}

// Serve serves calls until Stop is called. Without an identity it returns an *Error if the
// listener is not on a loopback address.
func (s *Server) Serve(listener net.Listener) error {
	if s.insecure && !isLoopback(listener.Addr()) {
		return insecureError("listen", listener.Addr().String())
	}
	return s.grpc.Serve(&countingListener{Listener: listener, traffic: s.traffic})
}

// Stop closes the listener and all connections, and cancels the calls in progress.
func (s *Server) Stop() { s.grpc.Stop() }

// Exchange implements PeersServer.
func (s *Server) Exchange(ctx context.Context, request *ExchangeRequest) (*ExchangeReply, error) {
	from, err := s.authenticate(ctx, request.GetFrom())
	if err != nil {
		return nil, err
	}
	reply := &ExchangeReply{}
	if answer := s.handler.Exchange(ctx, from, decode(request.GetGossip())); answer != nil {
		reply.Gossip = encode(answer)
	}
	return reply, nil
}

// Pull implements PeersServer. It sends the chunks at the rate that the rate limit allows.
func (s *Server) Pull(request *PullRequest, stream grpc.ServerStreamingServer[DocumentChunk]) error {
	if _, err := s.authenticate(stream.Context(), request.GetFrom()); err != nil {
		return err
	}
	document, found := s.handler.Document(request.GetName(), request.GetSince())
	if !found {
		return status.Error(codes.NotFound, "nothing newer")
	}
	if len(document.data) > s.limiter.Rate()*int(pullTimeout/time.Second) {
		return status.Error(codes.ResourceExhausted, "the budget does not allow the document in time")
	}
	chunk := &DocumentChunk{
		Version:  document.version,
		Size:     uint64(len(document.data)),
		Checksum: document.checksum,
	}
	rest := document.data
	for {
		n := min(len(rest), chunkBytes)
		chunk.Data, rest = rest[:n], rest[n:]
		if err := s.waitForLimiter(stream.Context(), n); err != nil {
			return err
		}
		if err := stream.Send(chunk); err != nil {
			return err
		}
		if len(rest) == 0 {
			return nil
		}
		chunk = &DocumentChunk{}
	}
}

// Repair implements PeersServer.
func (s *Server) Repair(ctx context.Context, request *RepairRequest) (*RepairReply, error) {
	from, err := s.authenticate(ctx, request.GetFrom())
	if err != nil {
		return nil, err
	}
	return &RepairReply{Accepted: uint32(s.handler.Repair(from, request.GetRecords()))}, nil
}

// authenticate returns the ID of the caller. With an identity, it returns a gRPC status error if
// the certificate of the caller does not name the claimed VM. Without an identity, it trusts the
// claimed ID.
func (s *Server) authenticate(ctx context.Context, claimed uint64) (fleet.ID, error) {
	if s.insecure {
		return fleet.ID(claimed), nil
	}
	p, ok := peer.FromContext(ctx)
	if !ok {
		return 0, status.Error(codes.Unauthenticated, "unknown connection")
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok {
		return 0, status.Error(codes.Unauthenticated, "no certificate")
	}
	id, ok := callerID(&info.State)
	if !ok || id != fleet.ID(claimed) {
		return 0, status.Error(codes.PermissionDenied, "the certificate names another VM")
	}
	return id, nil
}

// waitForLimiter waits until the rate limit allows a chunk with the given number of bytes.
func (s *Server) waitForLimiter(ctx context.Context, bytes int) error {
	ticker := time.NewTicker(limiterPollInterval)
	defer ticker.Stop()
	for !s.limiter.Allow(s.clock.Now(), member.ClassVersions, bytes+chunkOverheadBytes) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// options are the options of clients and servers.
type options struct {
	clock    clock.Clock
	limiter  *member.RateLimiter
	traffic  *Traffic
	insecure bool
}

// Option configures a Client or a Server.
type Option func(*options)

// WithRateLimiter sets the rate limiter of control traffic and its clock. The client, the
// server and the member.Machine of a daemon share one rate limiter.
func WithRateLimiter(c clock.Clock, limiter *member.RateLimiter) Option {
	return func(o *options) { o.clock, o.limiter = c, limiter }
}

// WithTraffic sets the counter of the bytes sent and received.
func WithTraffic(traffic *Traffic) Option {
	return func(o *options) { o.traffic = traffic }
}

// newOptions applies opts to the defaults: the system clock, a new counter and a rate limiter
// with the default rate.
func newOptions(opts []Option) options {
	o := options{clock: clock.NewSystem(), traffic: &Traffic{}}
	for _, option := range opts {
		option(&o)
	}
	if o.limiter == nil {
		o.limiter = member.NewRateLimiter(o.clock.Now(), member.DefaultControlRate)
	}
	return o
}
