package fabric_test

import (
	"errors"
	"net/netip"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/fabric"
	"github.com/almondflow/almondflow/geneve"
)

// listen binds sockets and closes them at the end of the test.
func listen(t testing.TB, address string, workers int) []*fabric.UDP {
	t.Helper()
	conns, err := fabric.Listen(t.Context(), netip.MustParseAddrPort(address), workers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, c := range conns {
			_ = c.Close()
		}
	})
	return conns
}

// TestUDPSendsAndReceivesBatches sends a batch in which the first datagram cannot be sent and
// the last is too long for the receiver's buffer. The others must arrive unchanged.
func TestUDPSendsAndReceivesBatches(t *testing.T) {
	for _, address := range []string{"127.0.0.1:0", "[::1]:0"} {
		t.Run(address, func(t *testing.T) {
			is := is.New(t)
			from, to := listen(t, address, 1)[0], listen(t, address, 1)[0]
			out, in := fabric.NewBatch(4, 100), fabric.NewBatch(4, 10)
			unreachable := netip.AddrPortFrom(to.Address().Addr(), 0)
			is.True(out.Add(append(out.Next(), "refused"...), unreachable))
			is.True(out.Add(append(out.Next(), "short"...), to.Address()))
			is.True(out.Add(append(out.Next(), "longer than ten"...), to.Address()))
			is.True(!out.Add(make([]byte, 101), to.Address()))
			failed, err := from.Write(out)
			is.Equal(failed, 1)
			is.True(err != nil)
			var got []string
			for len(got) < 2 {
				is.NoErr(to.Read(in))
				for i := range in.Len() {
					got = append(got, string(in.Datagram(i)))
					is.Equal(in.Address(i), from.Address())
					is.Equal(in.IsTruncated(i), len(got) == 2)
				}
			}
			is.Equal(got, []string{"short", "longer tha"})
		})
	}
}

func TestListenOnAddressInUse(t *testing.T) {
	is := is.New(t)
	for _, workers := range []int{1, 3} {
		conns := listen(t, "127.0.0.1:0", workers)
		is.Equal(len(conns), workers)
		_, err := fabric.Listen(t.Context(), conns[0].Address(), workers)
		is.True(errors.Is(err, syscall.EADDRINUSE))
	}
}

func TestRunReturnsWhenConnIsClosed(t *testing.T) {
	is := is.New(t)
	conn := listen(t, "127.0.0.1:0", 1)[0]
	worker := fabric.NewGateway(1, conn.Address(), newKeys(t)).NewWorker(conn)
	var done sync.WaitGroup
	var err error
	done.Go(func() { err = worker.Run(nil) })
	is.NoErr(conn.Close())
	done.Wait()
	is.NoErr(err)
}

// TestPacketsOfFlowArriveAtSameWorker checks that all packets of a flow arrive at one worker and
// that flows from one sender are distributed over all workers. By default the kernel would
// send all of them to one worker, because they have the same outer addresses and ports.
func TestPacketsOfFlowArriveAtSameWorker(t *testing.T) {
	const workers, flows, repeats = 4, 32, 2
	conns := listen(t, "127.0.0.1:0", workers)
	from := listen(t, "127.0.0.1:0", 1)[0]
	encoder := geneve.NewEncoder(0, newKeys(t))
	out := fabric.NewBatch(flows*repeats, 500)
	for i := range flows * repeats {
		out.Add(encoder.AppendFabric(out.Next(), inner(uint16(i%flows), 10)), conns[0].Address())
	}
	if _, err := from.Write(out); err != nil {
		t.Fatal(err)
	}
	type arrival struct {
		worker int
		flow   string
	}
	arrivals := make(chan arrival, flows*repeats)
	for w, c := range conns {
		go func() {
			in := fabric.NewBatch(8, 500)
			for c.Read(in) == nil {
				for i := range in.Len() {
					arrivals <- arrival{w, string(in.Datagram(i))}
				}
			}
		}()
	}
	workerByFlow := make(map[string]int)
	packetCounts := make(map[int]int)
	for range flows * repeats {
		a := <-arrivals
		if w, known := workerByFlow[a.flow]; known && w != a.worker {
			t.Fatalf("packets of one flow arrived at workers %d and %d", w, a.worker)
		}
		workerByFlow[a.flow] = a.worker
		packetCounts[a.worker]++
	}
	if len(packetCounts) != workers {
		t.Fatalf("packet counts by worker are %v, want packets at every worker", packetCounts)
	}
}
