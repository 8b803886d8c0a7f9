package exchanger_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// benchRelay starts a hop that passes on the responses of a destination, and returns
// its address.
func benchRelay(b *testing.B, destination identifier.Address, stream bool) identifier.Address {
	b.Helper()
	pool := exchanger.NewPool(exchanger.PoolConfig{Address: destination, ConnectTimeout: timer.Second, MaxIdle: 64, IdleTimeout: timer.Minute})
	server := exchanger.NewServer(exchanger.ServerConfig{
		Limits: limits, Reject: reject, Clock: timer.NewSystem(), Logger: slog.New(slog.DiscardHandler),
		Handler: exchanger.HandlerFunc(func(x *exchanger.Exchange) {
			call := &exchanger.Call{
				Request: &x.Request, Response: &x.Response, Deadline: time.Now().Add(time.Minute), MaxReuseIdle: timer.Minute,
				BodyLimit: 1 << 30, BufferLimit: 64 << 10, Stream: stream,
			}
			if pool.Do(call) == exchanger.Streaming {
				_ = x.Deliver(call.Body)
			}
		}),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(server.Close)
	return identifier.Address(listener.Addr().String())
}

// benchBackend starts a backend server with responses of a size.
func benchBackend(b *testing.B, size int) identifier.Address {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	block := make([]byte, 256<<10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					var request fasthttp.Request
					if request.Read(reader) != nil {
						return
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
					for sent := 0; sent < size; {
						n, err := conn.Write(block[:min(len(block), size-sent)])
						if err != nil {
							return
						}
						sent += n
					}
				}
			}()
		}
	}()
	return identifier.Address(listener.Addr().String())
}

// BenchmarkDownload measures a response that passes two hops, as from a backend server
// through admission and ingress: the time to its first byte, and the largest heap of
// the process with both hops.
func BenchmarkDownload(b *testing.B) {
	for _, size := range []int{90_000, 540_000, 50_000_000} {
		for _, callers := range []int{1, 8, 64} {
			for _, stream := range []bool{false, true} {
				if !stream && size*callers > 1_000_000_000 {
					continue // The buffered bodies would take more than half of the memory.
				}
				b.Run(fmt.Sprintf("bytes=%d/callers=%d/stream=%v", size, callers, stream), func(b *testing.B) {
					address := benchRelay(b, benchRelay(b, benchBackend(b, size), stream), stream)
					var first, count atomic.Int64
					peak := heapAlloc(b)
					b.ResetTimer()
					for range b.N {
						var group sync.WaitGroup
						for range callers {
							group.Go(func() {
								first.Add(int64(downloadOnce(b, address)))
								count.Add(1)
							})
						}
						group.Wait()
					}
					b.ReportMetric(float64(first.Load())/float64(count.Load())/1e6, "ms-to-first-byte")
					b.ReportMetric(float64(peak())/(1<<20), "MB-heap")
				})
			}
		}
	}
}

// downloadOnce reads a whole response and returns the time to its first byte.
func downloadOnce(b *testing.B, address identifier.Address) time.Duration {
	conn, err := net.Dial("tcp", string(address))
	if err != nil {
		b.Error(err)
		return 0
	}
	defer conn.Close()
	started := time.Now()
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	var one [1]byte
	if _, err := io.ReadFull(conn, one[:]); err != nil {
		b.Error(err)
	}
	first := time.Since(started)
	_, _ = io.Copy(io.Discard, conn)
	return first
}

// heapAlloc returns a function that reports the largest heap seen, garbage included.
func heapAlloc(b *testing.B) func() uint64 {
	b.Helper()
	runtime.GC()
	var peak atomic.Uint64
	done := make(chan struct{})
	go func() {
		var now runtime.MemStats
		for {
			runtime.ReadMemStats(&now)
			peak.Store(max(peak.Load(), now.HeapAlloc))
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	return func() uint64 { close(done); return peak.Load() }
}
