package exchanger_test

import (
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// heldListener holds back the first Accept until its release, so that connections wait
// in the kernel.
type heldListener struct {
	*net.TCPListener
	waiting chan struct{}
	release chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	select {
	case l.waiting <- struct{}{}:
	default:
	}
	<-l.release
	return l.TCPListener.Accept()
}

var _ = Describe("a server's connection", func() {
	echo := func(x *exchanger.Exchange) {
		x.Response.SetBodyString(string(x.Request.Header.RequestURI()) + "|" + string(x.Request.Body.Bytes()))
	}

	It("guards against responses to pipelined requests in the order of their completion", func() {
		_, address := startServer(func(x *exchanger.Exchange) {
			if string(x.Request.Header.RequestURI()) == "/slow" {
				time.Sleep(50 * time.Millisecond)
			}
			echo(x)
		})
		c := dial(address)
		c.send(get("/slow") + get("/fast") + get("/last"))
		for _, want := range []string{"/slow|", "/fast|", "/last|"} {
			Expect(string(c.answer().Body())).To(Equal(want))
		}
	})

	It("guards against a path that is normalized", func() {
		_, address := startServer(echo)
		c := dial(address)
		c.send(get("/a//b/../c/%2e?x=%41"))
		Expect(string(c.answer().Body())).To(Equal("/a//b/../c/%2e?x=%41|"))
	})

	It("guards against a run that continues after its caller disconnected", func() {
		disconnected := make(chan struct{})
		_, address := startServer(func(x *exchanger.Exchange) {
			x.OnDisconnect(func() { close(disconnected) })
			<-disconnected
		})
		c := dial(address)
		c.send(get("/"))
		time.Sleep(20 * time.Millisecond)
		Expect(c.Close()).To(Succeed())
		Eventually(disconnected).WithTimeout(testTimeout).Should(BeClosed())
	})

	It("guards against a request that starts after a response that closes the connection", func() {
		var mu sync.Mutex
		var started []string
		release := make(chan struct{})
		_, address := startServer(func(x *exchanger.Exchange) {
			path := string(x.Request.Header.RequestURI())
			if path == "/first" {
				<-release
				x.Close = true
				return
			}
			if !x.AwaitTurn() {
				return
			}
			mu.Lock()
			started = append(started, path)
			mu.Unlock()
		})
		c := dial(address)
		c.send(get("/first") + get("/second"))
		time.Sleep(20 * time.Millisecond)
		close(release)
		Expect(c.answer().Header.ConnectionClose()).To(BeTrue())
		Expect(c.ended()).To(BeTrue())
		mu.Lock()
		defer mu.Unlock()
		Expect(started).To(BeEmpty())
	})

	framings := []struct {
		name, text string
		status     int
	}{
		{"a chunked body", "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200},
		{"a length and chunks", "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 400},
		{"chunks and a length", "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 400},
		{"two lengths", "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400},
		{"a length that is not a number", "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", 400},
		{"a broken chunk", "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", 400},
		{"a header that is too large", "GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 8<<10) + "\r\n\r\n", 431},
		{"a body that is too large", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n", 413},
		{"a body that waits for 100 Continue", "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na", 200},
	}
	for _, c := range framings {
		It("guards against a wrong or ambiguous end of a request: "+c.name, func() {
			_, address := startServer(echo)
			conn := dial(address)
			conn.send(c.text)
			response := conn.answer()
			for response.StatusCode() == 100 {
				response = conn.answer()
			}
			Expect(response.StatusCode()).To(Equal(c.status))
			if c.status != 200 {
				Expect(conn.ended()).To(BeTrue(), "what follows an unreadable request must not be read as one")
			}
		})
	}

	It("guards against a planned stop that cuts a running request or leaves callers on their connections", func() {
		release := make(chan struct{})
		server, address := startServer(func(x *exchanger.Exchange) {
			if string(x.Request.Header.RequestURI()) == "/running" {
				<-release
			}
			echo(x)
		})
		idle, busy := dial(address), dial(address)
		idle.send(get("/"))
		idle.answer()
		busy.send(get("/running"))
		time.Sleep(20 * time.Millisecond)
		server.CloseAfterResponses()
		server.StopAccepting()
		Expect(server.CloseIdle()).To(Equal(1))
		Expect(idle.ended()).To(BeTrue())
		close(release)
		response := busy.answer()
		Expect(string(response.Body())).To(Equal("/running|"))
		Expect(response.Header.ConnectionClose()).To(BeTrue())
		Eventually(server.CloseIdle).WithTimeout(testTimeout).Should(BeZero())
	})

	It("guards against a planned stop that resets connections which the kernel has accepted", func() {
		server := exchanger.NewServer(exchanger.ServerConfig{
			Handler: exchanger.HandlerFunc(echo), Limits: limits, Reject: reject, Clock: timer.NewSystem(), Logger: slog.New(slog.DiscardHandler),
		})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		held := &heldListener{TCPListener: listener.(*net.TCPListener), waiting: make(chan struct{}, 1), release: make(chan struct{})}
		served := make(chan error, 1)
		go func() { served <- server.Serve(held) }()
		DeferCleanup(server.Close)
		<-held.waiting
		var callers []*client
		for range 3 {
			c := dial(listener.Addr().String())
			c.send(get("/"))
			callers = append(callers, c)
		}
		server.CloseAfterResponses()
		server.StopAccepting()
		close(held.release)
		for _, c := range callers {
			Expect(string(c.answer().Body())).To(Equal("/|"))
		}
		Eventually(served).WithTimeout(testTimeout).Should(Receive(BeNil()))
		_, err = net.Dial("tcp", listener.Addr().String())
		Expect(err).To(HaveOccurred(), "the listener stays open")
	})

	It("guards against a planned stop that drops running pipelined requests", func() {
		release := make(chan struct{})
		server, address := startServer(func(x *exchanger.Exchange) {
			<-release
			echo(x)
		})
		c := dial(address)
		c.send(get("/1") + get("/2") + get("/3"))
		time.Sleep(20 * time.Millisecond)
		server.CloseAfterResponses()
		close(release)
		for n, want := range []string{"/1|", "/2|", "/3|"} {
			response := c.answer()
			Expect(string(response.Body())).To(Equal(want))
			Expect(response.Header.ConnectionClose()).To(Equal(n == 2))
		}
		Expect(c.ended()).To(BeTrue())
	})

	It("guards against a connection that stays open after its idle timeout and loses what is sent on it", func() {
		_, address := startServer(echo)
		c := dial(address)
		c.send(get("/"))
		c.answer()
		started := time.Now()
		Expect(c.ended()).To(BeTrue())
		Expect(time.Since(started)).To(BeNumerically("~", 2*time.Second, time.Second))
	})

	It("guards against reading more pipelined requests ahead than the limit", func() {
		var running atomic.Int64
		release := make(chan struct{})
		_, address := startServer(func(*exchanger.Exchange) {
			running.Add(1)
			<-release
		})
		c := dial(address)
		for i := range 30 {
			c.send(get(fmt.Sprintf("/%d", i)))
		}
		Eventually(running.Load).WithTimeout(testTimeout).Should(BeNumerically("==", 16))
		Consistently(running.Load).WithTimeout(50 * time.Millisecond).Should(BeNumerically("==", 16))
		close(release)
		for range 30 {
			Expect(c.answer().StatusCode()).To(Equal(200))
		}
	})
})
