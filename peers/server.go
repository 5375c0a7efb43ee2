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

// Limits of the server and of what it takes.
const (
	maximumMessageBytes = 64 << 10
	windowBytes         = 64 << 10
	maximumStreams      = 64
	// connectionAge bounds how long a caller is trusted on the strength of one handshake.
	connectionAge = time.Hour
	// budgetPoll is how often a pull that waits for the budget looks again.
	budgetPoll = 100 * time.Millisecond
)

// Handler answers the calls of other daemons. It is called by several goroutines.
type Handler interface {
	// Exchange takes a message and returns the answer, nil for none.
	Exchange(ctx context.Context, from fleet.ID, m *member.Message) *member.Message
	// Document returns the newest version of a document, or what leads to it from since.
	// It reports false when there is nothing newer.
	Document(name string, since uint64) (Document, bool)
	// Repair takes encoded flow records and returns how many were accepted.
	Repair(from fleet.ID, records [][]byte) int
}

// Server takes the calls of other daemons.
type Server struct {
	UnimplementedPeersServer
	options
	handler Handler
	grpc    *grpc.Server
}

// NewServer returns a server that demands certificates of the fleet, or with nil keys
// one that trusts every caller and listens on loopback only.
func NewServer(keys *Keys, handler Handler, settings ...Option) *Server {
	s := &Server{options: newOptions(settings), handler: handler}
	c := insecure.NewCredentials()
	if keys != nil {
		c = keys.serverCredentials()
	}
	s.grpc = grpc.NewServer(
		grpc.Creds(c),
		grpc.MaxRecvMsgSize(maximumMessageBytes),
		grpc.MaxConcurrentStreams(maximumStreams),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionAge: connectionAge}),
	)
	s.insecure = keys == nil
	RegisterPeersServer(s.grpc, s)
	return s
}

// Serve takes calls until Stop. It refuses to serve without keys beyond loopback.
func (s *Server) Serve(listener net.Listener) error {
	if s.insecure && !isLoopback(listener.Addr()) {
		return insecureError("listen", listener.Addr().String())
	}
	return s.grpc.Serve(&countingListener{Listener: listener, traffic: s.traffic})
}

// Stop ends all calls and closes the listener.
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

// Pull implements PeersServer. Chunks are sent as the budget allows.
func (s *Server) Pull(request *PullRequest, stream grpc.ServerStreamingServer[DocumentChunk]) error {
	if _, err := s.authenticate(stream.Context(), request.GetFrom()); err != nil {
		return err
	}
	document, found := s.handler.Document(request.GetName(), request.GetSince())
	if !found {
		return status.Error(codes.NotFound, "nothing newer")
	}
	if len(document.data) > s.budget.Rate()*int(pullTimeout/time.Second) {
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
		if err := s.waitForBudget(stream.Context(), n); err != nil {
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

// authenticate checks that the caller is the VM that its certificate names.
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

func (s *Server) waitForBudget(ctx context.Context, bytes int) error {
	ticker := time.NewTicker(budgetPoll)
	defer ticker.Stop()
	for !s.budget.Allow(s.clock.Now(), member.ClassVersions, bytes+chunkOverheadBytes) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// options are common to clients and servers.
type options struct {
	clock    clock.Clock
	budget   *member.Budget
	traffic  *Traffic
	insecure bool
}

// Option changes how a Client or a Server works.
type Option func(*options)

// WithBudget sets the limiter of control bytes, which a daemon's client, server and
// machine share, and the clock that it goes by.
func WithBudget(c clock.Clock, budget *member.Budget) Option {
	return func(o *options) { o.clock, o.budget = c, budget }
}

// WithTraffic sets where bytes are counted.
func WithTraffic(traffic *Traffic) Option {
	return func(o *options) { o.traffic = traffic }
}

func newOptions(settings []Option) options {
	o := options{clock: clock.NewSystem(), traffic: &Traffic{}}
	for _, option := range settings {
		option(&o)
	}
	if o.budget == nil {
		o.budget = member.NewBudget(o.clock.Now(), member.DefaultBudgetRate)
	}
	return o
}
