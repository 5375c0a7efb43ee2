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

// Bounds of the client.
const (
	maximumConnections = 64
	reconnectBase      = 200 * time.Millisecond
	reconnectMaximum   = 2 * time.Second
	connectTimeout     = 2 * time.Second
	// chunkOverheadBytes is the framing of a chunk or batch of records.
	chunkOverheadBytes = 64
)

// ErrOverBudget means that the budget of control bytes does not allow a call now.
var ErrOverBudget = errors.New("over the budget of control bytes")

// Client calls other daemons over connections that stay open. It is safe for concurrent
// use.
type Client struct {
	options
	self fleet.ID
	keys *Keys

	mu          sync.Mutex
	connections map[fleet.ID]*connection
	uses        uint64
}

type connection struct {
	*grpc.ClientConn
	address    netip.AddrPort
	generation uint64 // of the keys
	used       uint64 // when it was last used, in calls of the client
}

// close ends the calls in progress. That it was closed before is no concern.
func (c *connection) close() { _ = c.Close() }

// NewClient returns a client of the daemon self. With nil keys it calls loopback
// addresses only.
func NewClient(self fleet.ID, keys *Keys, settings ...Option) *Client {
	return &Client{
		options:     newOptions(settings),
		self:        self,
		keys:        keys,
		connections: make(map[fleet.ID]*connection),
	}
}

// Traffic returns the counter of bytes.
func (c *Client) Traffic() *Traffic { return c.traffic }

// Exchange delivers a message that the budget was already asked for. It returns the
// answer, or nil when the message has none. The error is an *Error.
func (c *Client) Exchange(ctx context.Context, vm *fleet.VM, m *member.Message) (*member.Message, error) {
	client, err := c.peer(vm)
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

// Pull returns the newest version of a document that a daemon has, if it is newer than
// since. The error is an *Error, with NotFound when it is not.
func (c *Client) Pull(ctx context.Context, vm *fleet.VM, name string, since uint64) (Document, error) {
	client, err := c.peer(vm)
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

func receiveDocument(stream grpc.ServerStreamingClient[DocumentChunk]) (Document, error) {
	first, err := stream.Recv()
	if err != nil {
		return Document{}, err
	}
	if first.GetSize() > maximumDocumentBytes {
		return Document{}, status.Error(codes.ResourceExhausted, "the document is too large")
	}
	d := Document{version: first.GetVersion(), checksum: first.GetChecksum()}
	for chunk := first; ; {
		d.data = append(d.data, chunk.GetData()...)
		if uint64(len(d.data)) > first.GetSize() {
			return Document{}, status.Error(codes.DataLoss, "more data than announced")
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

// Repair delivers encoded flow records as far as the budget allows and returns how many
// were accepted. The error is an *Error or ErrOverBudget.
func (c *Client) Repair(ctx context.Context, vm *fleet.VM, records [][]byte) (int, error) {
	client, err := c.peer(vm)
	if err != nil {
		return 0, err
	}
	size := chunkOverheadBytes
	for _, r := range records {
		size += len(r)
	}
	if !c.budget.Allow(c.clock.Now(), member.ClassRepair, size) {
		return 0, ErrOverBudget
	}
	reply, err := client.Repair(ctx, &RepairRequest{From: uint64(c.self), Records: records})
	if err != nil {
		return 0, callError("repair at", vm, err)
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

// peer returns the connection to a VM. It is opened anew when the VM's address or the
// keys changed.
func (c *Client) peer(vm *fleet.VM) (PeersClient, error) {
	var generation uint64
	transport := insecure.NewCredentials()
	if c.keys != nil {
		current := c.keys.current.Load()
		generation = current.number
		transport = current.clientCredentials(vm.Name())
	} else if !vm.PeerAddress().Addr().IsLoopback() {
		return nil, insecureError("call", vm.PeerAddress().String())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses++
	old := c.connections[vm.ID()]
	if old != nil && old.address == vm.PeerAddress() && old.generation == generation {
		old.used = c.uses
		return NewPeersClient(old), nil
	}
	if old != nil {
		old.close()
		delete(c.connections, vm.ID())
	}
	c.evict()
	conn, err := c.open(vm, transport)
	if err != nil {
		return nil, &Error{code: result.Internal, operation: "connect to", peer: vm.Name(), err: err}
	}
	c.connections[vm.ID()] = &connection{ClientConn: conn, address: vm.PeerAddress(), generation: generation, used: c.uses}
	return NewPeersClient(conn), nil
}

// evict closes the connection that was not used for longest when there are too many.
func (c *Client) evict() {
	if len(c.connections) < maximumConnections {
		return
	}
	var oldest fleet.ID
	for id, conn := range c.connections {
		if oldest == 0 || conn.used < c.connections[oldest].used {
			oldest = id
		}
	}
	c.connections[oldest].close()
	delete(c.connections, oldest)
}

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
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maximumMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectBase, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectMaximum},
			MinConnectTimeout: connectTimeout,
		}),
	)
}

// callError maps what a call returned to an Error.
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

var errNeedsKeys = errors.New("without keys only loopback addresses are allowed")

func insecureError(operation, address string) *Error {
	return &Error{code: result.KeyInvalid, operation: operation, peer: address, err: errNeedsKeys}
}

func isLoopback(address net.Addr) bool {
	a, err := netip.ParseAddrPort(address.String())
	return err == nil && a.Addr().IsLoopback()
}
