package peers

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/member"
	"github.com/almondflow/almondflow/result"
)

// Limits of the client.
const (
	maxConnections = 64
	// After a failed attempt to connect, the client waits reconnectBaseDelay. The delay grows
	// with each further failure, up to reconnectMaxDelay.
	reconnectBaseDelay = 200 * time.Millisecond
	reconnectMaxDelay  = 2 * time.Second
	connectTimeout     = 2 * time.Second
	// chunkOverheadBytes is the estimated size of the framing of a document chunk or a
	// batch of records.
	chunkOverheadBytes = 64
)

// ErrRateLimited means that a call would exceed the rate limit of control bytes.
var ErrRateLimited = errors.New("rate limit of control bytes exceeded")

// Client calls other daemons over persistent connections. It is safe for concurrent use.
type Client struct {
	options
	self     fleet.ID
	identity *IdentityHolder

	mu          sync.Mutex
	connections map[fleet.ID]*connection
	callCount   uint64 // number of calls, which orders connections by their last use
}

// connection is an open connection to a daemon.
type connection struct {
	*grpc.ClientConn
	address    netip.AddrPort
	generation uint64 // number of the identity that it was opened with
	lastUse    uint64 // callCount of the client at the last use
}

// close closes the connection and ends its calls. It ignores the error of Close, which only
// means that the connection is already closed.
func (c *connection) close() { _ = c.Close() }

// NewClient returns a client for the daemon self. If identity is nil, the client uses no TLS
// and calls loopback addresses only.
func NewClient(self fleet.ID, identity *IdentityHolder, opts ...Option) *Client {
	return &Client{
		options:     newOptions(opts),
		self:        self,
		identity:    identity,
		connections: make(map[fleet.ID]*connection),
	}
}

// Traffic returns the counter of the bytes sent and received.
func (c *Client) Traffic() *Traffic { return c.traffic }

// Exchange sends a message and returns the answer, or nil if there is none. The caller must
// have charged the message to the rate limit. Errors are of type *Error.
func (c *Client) Exchange(ctx context.Context, vm *fleet.VM, m *member.Message) (*member.Message, error) {
	client, err := c.peerClient(vm)
	if err != nil {
		return nil, err
	}
	reply, err := client.Exchange(ctx, &ExchangeRequest{From: uint64(c.self), Gossip: encode(m)})
	if err != nil {
		return nil, callError("exchange with", vm, err)
	}
	if reply.GetGossip() == nil {
		return nil, nil //nolint:nilnil // most kinds of messages have no answer
	}
	return decode(reply.GetGossip()), nil
}

// Pull returns the newest version of a document that a daemon has, provided that it is newer
// than since. Errors are of type *Error. The code is result.NotFound if the daemon has no
// newer version.
func (c *Client) Pull(ctx context.Context, vm *fleet.VM, name string, since uint64) (Document, error) {
	client, err := c.peerClient(vm)
	if err != nil {
		return Document{}, err
	}
	stream, err := client.Pull(ctx, &PullRequest{From: uint64(c.self), Name: name, Since: since})
	if err != nil {
		return Document{}, callError("pull from", vm, err)
	}
	document, err := receiveDocument(stream)
	if err != nil {
		return Document{}, callError("pull from", vm, err)
	}
	return document, nil
}

// receiveDocument assembles a document from its chunks and verifies size and checksum.
func receiveDocument(stream grpc.ServerStreamingClient[DocumentChunk]) (Document, error) {
	first, err := stream.Recv()
	if err != nil {
		return Document{}, err
	}
	if first.GetSize() > maxDocumentBytes {
		return Document{}, status.Error(codes.ResourceExhausted, "the document is too large")
	}
	d := Document{version: first.GetVersion(), checksum: first.GetChecksum()}
	for chunk := first; ; {
		d.data = append(d.data, chunk.GetData()...)
		if uint64(len(d.data)) > first.GetSize() {
			return Document{}, status.Error(codes.DataLoss, "the document has more data than announced")
		}
		chunk, err = stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return Document{}, err
		}
	}
	if xxhash.Sum64(d.data) != d.checksum {
		return Document{}, errChecksum
	}
	return d, nil
}

// Repair sends encoded flow records to a daemon and returns how many it accepted. The error
// is an *Error, or ErrRateLimited if the rate limit does not allow all records now.
func (c *Client) Repair(ctx context.Context, vm *fleet.VM, records [][]byte) (int, error) {
	client, err := c.peerClient(vm)
	if err != nil {
		return 0, err
	}
	size := chunkOverheadBytes
	for _, r := range records {
		size += len(r)
	}
	if !c.limiter.Allow(c.clock.Now(), member.ClassRepair, size) {
		return 0, ErrRateLimited
	}
	reply, err := client.Repair(ctx, &RepairRequest{From: uint64(c.self), Records: records})
	if err != nil {
		return 0, callError("send repair records to", vm, err)
	}
	return int(reply.GetAccepted()), nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, conn := range c.connections {
		conn.close()
		delete(c.connections, id)
	}
}

// peerClient returns a gRPC client for a VM. It reuses the open connection unless the address
// of the VM or the identity has changed since it was opened.
func (c *Client) peerClient(vm *fleet.VM) (PeersClient, error) {
	var generation uint64
	transport := insecure.NewCredentials()
	if c.identity != nil {
		current := c.identity.current.Load()
		generation = current.number
		transport = current.clientCredentials(vm.Name())
	} else if !vm.PeerAddress().Addr().IsLoopback() {
		return nil, insecureError("call", vm.PeerAddress().String())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callCount++
	existing := c.connections[vm.ID()]
	if existing != nil && existing.address == vm.PeerAddress() && existing.generation == generation {
		existing.lastUse = c.callCount
		return NewPeersClient(existing), nil
	}
	if existing != nil {
		existing.close()
		delete(c.connections, vm.ID())
	}
	c.evict()
	conn, err := c.open(vm, transport)
	if err != nil {
		return nil, &Error{code: result.Internal, operation: "connect to", peer: vm.Name(), err: err}
	}
	c.connections[vm.ID()] = &connection{ClientConn: conn, address: vm.PeerAddress(), generation: generation, lastUse: c.callCount}
	return NewPeersClient(conn), nil
}

// evict closes the least recently used connection if maxConnections are open. The caller
// holds the lock.
func (c *Client) evict() {
	if len(c.connections) < maxConnections {
		return
	}
	var leastRecent fleet.ID
	for id, conn := range c.connections {
		if leastRecent == 0 || conn.lastUse < c.connections[leastRecent].lastUse {
			leastRecent = id
		}
	}
	c.connections[leastRecent].close()
	delete(c.connections, leastRecent)
}

// open returns a connection to a VM, which is established at the first call.
func (c *Client) open(vm *fleet.VM, transport credentials.TransportCredentials) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+vm.PeerAddress().String(),
		grpc.WithTransportCredentials(transport),
		grpc.WithContextDialer(c.traffic.dial),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithUserAgent("almondflow"),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithIdleTimeout(0),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectBaseDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectMaxDelay},
			MinConnectTimeout: connectTimeout,
		}),
	)
}

// callError returns an Error with the result code for the gRPC status of a failed call.
func callError(operation string, vm *fleet.VM, err error) *Error {
	code := result.DaemonUnreachable
	switch status.Code(err) {
	case codes.NotFound:
		code = result.NotFound
	case codes.PermissionDenied, codes.Unauthenticated:
		code = result.KeyInvalid
	default:
	}
	return &Error{code: code, operation: operation, peer: vm.Name(), err: err}
}

var errIdentityRequired = errors.New("without keys only loopback addresses are allowed")

// insecureError returns the error of an operation that requires an identity.
func insecureError(operation, address string) *Error {
	return &Error{code: result.KeyInvalid, operation: operation, peer: address, err: errIdentityRequired}
}

func isLoopback(address net.Addr) bool {
	a, err := netip.ParseAddrPort(address.String())
	return err == nil && a.Addr().IsLoopback()
}
