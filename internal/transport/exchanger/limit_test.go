package exchanger_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"weak"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/attacker"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const headBytes = 16 << 10

// boundedServer is a server with bounds whose handler counts the requests and waits until
// they are released.
type boundedServer struct {
	address string
	memory  *exchanger.Memory
	handled atomic.Int64
	release chan struct{}

	mu        sync.Mutex
	exchanges []weak.Pointer[exchanger.Exchange]
}

func (b *boundedServer) record(x *exchanger.Exchange) {
	b.mu.Lock()
	b.exchanges = append(b.exchanges, weak.Make(x))
	b.mu.Unlock()
	b.handled.Add(1)
}

// kept returns the number of requests that are still in memory.
func (b *boundedServer) kept() (count int) {
	runtime.GC()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range b.exchanges {
		if x.Value() != nil {
			count++
		}
	}
	return count
}

// startBounded starts a server with a number of connections and bytes of memory.
func startBounded(connections int, memory int64) *boundedServer {
	b := &boundedServer{memory: exchanger.NewMemory(memory), release: make(chan struct{})}
	server := exchanger.NewServer(exchanger.ServerConfig{
		Handler: exchanger.HandlerFunc(func(x *exchanger.Exchange) {
			b.record(x)
			<-b.release
			x.Response.SetBodyRaw(x.Request.Fields)
		}),
		Limits: func() exchanger.Limits {
			return exchanger.Limits{HeaderBytes: headBytes, BodyBytes: 1 << 20, HeaderTimeout: timer.Minute, IdleTimeout: timer.Minute}
		},
		Reject: reject, Memory: b.memory, MaxConnections: connections, Clock: timer.NewSystem(), Logger: slog.New(slog.DiscardHandler),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	b.address = listener.Addr().String()
	return b
}

var _ = Describe("the bound of the connections", func() {
	const connections = 4
	for _, waiting := range []struct{ name, sent string }{
		{"idle", ""},
		{"half a head", "GET / HTTP/1.1\r\nHost: h\r\na:\r\n"},
		{"idle after a request", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
	} {
		It("guards against connections that wait and lock out others: "+waiting.name, func() {
			b := startBounded(connections, 1<<20)
			close(b.release)
			var open []*client
			for range connections {
				c := dial(b.address)
				c.send(waiting.sent)
				if strings.HasSuffix(waiting.sent, "\r\n\r\n") {
					c.answer()
				}
				open = append(open, c)
				time.Sleep(10 * time.Millisecond) // So that the server knows which has waited longest.
			}
			c := dial(b.address)
			c.send(get("/"))
			Expect(c.answer().StatusCode()).To(Equal(200))
			_, err := open[0].reader.ReadByte()
			Expect(err).To(HaveOccurred(), "the connection that has waited longest")
			last := open[connections-1]
			Expect(last.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
			_, err = last.reader.ReadByte()
			Expect(err).To(MatchError(ContainSubstring("timeout")), "the others stay open")
		})
	}

	It("guards against closing a connection whose request runs, in favour of another", func() {
		b := startBounded(connections, 1<<20)
		var busy []*client
		for range connections {
			c := dial(b.address)
			c.send(get("/"))
			busy = append(busy, c)
		}
		Eventually(b.handled.Load).WithTimeout(testTimeout).Should(BeEquivalentTo(connections))
		refused := dial(b.address)
		refused.send(get("/"))
		got := refused.answer()
		Expect(got.StatusCode()).To(Equal(503))
		Expect(got.ConnectionClose()).To(BeTrue())
		close(b.release)
		for _, c := range busy {
			Expect(c.answer().StatusCode()).To(Equal(200))
		}
		Expect(b.handled.Load()).To(BeEquivalentTo(connections))
	})

	It("guards against a request that is handled on a connection that is closed in favour of another", func() {
		b := startBounded(2, 1<<20)
		close(b.release)
		var answered atomic.Int64
		var all sync.WaitGroup
		for range 8 {
			all.Go(func() {
				for range 200 {
					conn, err := net.Dial("tcp", b.address)
					if err != nil {
						continue
					}
					_ = conn.SetDeadline(time.Now().Add(testTimeout))
					_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
					text, _ := io.ReadAll(conn)
					if strings.HasPrefix(string(text), "HTTP/1.1 200") {
						answered.Add(1)
					}
					_ = conn.Close()
				}
			})
		}
		all.Wait()
		Expect(answered.Load()).To(BeNumerically(">", 0))
		Expect(b.handled.Load()).To(Equal(answered.Load()))
	})
})

// failingListener fails to accept a number of times.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

// Accept fails or accepts a connection.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

var _ = Describe("a process without descriptors", func() {
	It("guards against a server that ends because a connection cannot be accepted", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener := &failingListener{Listener: inner}
		listener.failures.Store(5)
		server := exchanger.NewServer(exchanger.ServerConfig{
			Handler: exchanger.HandlerFunc(func(*exchanger.Exchange) {}), Limits: limits, Reject: reject,
			Clock: timer.NewSystem(), Logger: slog.New(slog.DiscardHandler),
		})
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		c := dial(inner.Addr().String())
		c.send(get("/"))
		Expect(c.answer().StatusCode()).To(Equal(200))
	})
})

var _ = Describe("the memory of a request", func() {
	target := attacker.Target{Path: "/", HeadBytes: headBytes, Names: []string{"Expect"}}

	// fixed is what a connection with a request takes beside the bytes of the request.
	const fixed = 64 << 10

	It("guards against heads that take many times their bytes", func() {
		for _, shape := range target.Shapes() {
			if !shape.Whole {
				continue
			}
			b := startBounded(0, 1<<20)
			c := dial(b.address)
			c.send(shape.Text)
			Eventually(b.handled.Load).WithTimeout(testTimeout).Should(BeEquivalentTo(1), shape.Name)
			Eventually(b.memory.Used).WithTimeout(testTimeout).Should(BeNumerically("<", fixed+4*headBytes), shape.Name)
			close(b.release)
			Expect(c.answer().StatusCode()).To(Equal(200), shape.Name)
			Expect(c.Close()).To(Succeed())
			Eventually(b.memory.Used).WithTimeout(testTimeout).Should(BeZero(), shape.Name)
		}
	})

	It("guards against requests that hold more than the bound, and against refusing them late", func() {
		const requests, memory = 40, 1 << 20
		b := startBounded(0, memory)
		var open []*client
		head := attacker.Head("GET / HTTP/1.1\r\nHost: h\r\n", "a:\r\n", headBytes)
		for range requests {
			c := dial(b.address)
			c.send(head)
			open = append(open, c)
		}
		Eventually(func() bool {
			held := b.handled.Load()
			time.Sleep(50 * time.Millisecond)
			return held > 0 && held == b.handled.Load()
		}).WithTimeout(testTimeout).Should(BeTrue())
		handled := int(b.handled.Load())
		Expect(handled).To(BeNumerically("<", requests))
		Expect(b.memory.Used()).To(BeNumerically("<=", memory))
		close(b.release)
		statuses := map[int]int{}
		for _, c := range open {
			statuses[c.answer().StatusCode()]++
		}
		Expect(statuses).To(Equal(map[int]int{200: handled, 503: requests - handled}))
	})

	It("guards against requests that stay in memory after it was given back, as long as their connection is open", func() {
		const requests = 12
		b := startBounded(0, 1<<20)
		c := dial(b.address)
		c.send(strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", requests))
		Eventually(b.handled.Load).WithTimeout(testTimeout).Should(BeEquivalentTo(requests))
		Expect(b.kept()).To(Equal(requests))
		close(b.release)
		for range requests {
			Expect(c.answer().StatusCode()).To(Equal(200))
		}
		Eventually(b.kept).WithTimeout(testTimeout).Should(BeZero())
	})

	for _, body := range []struct{ name, framing, text string }{
		{"a length", "Content-Length: 600000", strings.Repeat("a", 600_000)},
		{"chunks", "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 600_000, strings.Repeat("a", 600_000))},
	} {
		It("guards against a body that takes much more than its bytes while it grows: with "+body.name, func() {
			b := startBounded(0, 1<<20)
			close(b.release)
			c := dial(b.address)
			c.send("POST / HTTP/1.1\r\nHost: h\r\n" + body.framing + "\r\n\r\n" + body.text)
			Expect(c.answer().StatusCode()).To(Equal(200))
		})
	}
})

var _ = Describe("the bound of outgoing connections", func() {
	It("guards against calls that use up the descriptors, and against reporting one that was not sent as run", func() {
		release := make(chan struct{})
		address := startRaw(func(conn net.Conn, reader *bufio.Reader) {
			if id, found := readRequest(reader); found {
				<-release
				_, _ = io.WriteString(conn, reply(id, "whole"))
			}
		})
		sockets, memory := exchanger.NewSockets(2), exchanger.NewMemory(1<<20)
		pool := exchanger.NewPool(exchanger.PoolConfig{
			Address: address, ConnectTimeout: timer.Second, MaxIdle: 4, IdleTimeout: timer.Second, Sockets: sockets, Memory: memory,
		})
		results := make(chan exchanger.Result)
		for n := range 3 {
			go func() { results <- pool.Do(newCall(fmt.Sprint(n))) }()
		}
		Expect(<-results).To(Equal(exchanger.NoRoom))
		close(release)
		Expect(<-results).To(Equal(exchanger.Answered))
		Expect(<-results).To(Equal(exchanger.Answered))
		pool.CloseIdle()
		Expect(memory.Used()).To(BeZero())
		for n := range 2 {
			Expect(pool.Do(newCall(fmt.Sprint(n)))).To(Equal(exchanger.Answered), "sockets are given back")
			pool.CloseIdle()
		}
	})
})
