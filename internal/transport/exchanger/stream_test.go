package exchanger_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const bufferLimit = 8 << 10

// relay starts a server that passes on the responses of a destination. The results
// receives how each body ended.
func relay(destination identifier.Address, results chan<- exchanger.Result) string {
	pool := newPool(destination)
	_, address := startServer(func(x *exchanger.Exchange) {
		call := newCall("1")
		call.BodyLimit, call.BufferLimit, call.Stream, call.Memory = 1<<30, bufferLimit, true, x.Memory()
		x.OnDisconnect(call.Abort)
		result := pool.Do(call)
		call.Response.Header.CopyTo(&x.Response.Header)
		if result == exchanger.Streaming {
			_ = x.Deliver(call.Body)
			result = call.Body.Result()
		} else {
			x.Response.SetBodyRaw(call.Response.Body())
		}
		results <- result
	})
	return address
}

func streamed(size int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
}

const get1 = "GET / HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n"

var _ = Describe("a response that is passed on as it arrives", func() {
	const size = 300 << 10
	chunked := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)) + "0\r\n\r\n"
	untilClose := "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n" + strings.Repeat("x", size)
	whole := []struct {
		name   string
		script func(net.Conn, *bufio.Reader)
		reused bool
	}{
		{"with a length", always(streamed(size)), true},
		{"in chunks", always(chunked), true},
		{"that ends with its connection", once(untilClose, false), false},
	}
	for _, c := range whole {
		It("guards against a changed body and against another response on its connection: "+c.name, func() {
			results := make(chan exchanger.Result, 2)
			var connections atomic.Int64
			conn := dial(relay(startRaw(func(conn net.Conn, reader *bufio.Reader) {
				connections.Add(1)
				c.script(conn, reader)
			}), results))
			for range 2 {
				conn.send(get1)
				Expect(conn.answer().Body()).To(HaveLen(size))
				Eventually(results).Should(Receive(Equal(exchanger.Answered)))
			}
			Expect(connections.Load() == 1).To(Equal(c.reused))
		})
	}

	cut := []struct{ name, text string }{
		{"with a length", streamed(size)[:size/2]},
		{"in chunks, within a chunk", chunked[:size/2]},
		{"in chunks, before the last one", strings.TrimSuffix(chunked, "0\r\n\r\n")},
		{"in chunks, with broken framing", strings.TrimSuffix(chunked, "0\r\n\r\n") + "zz\r\n"},
	}
	for _, c := range cut {
		It("guards against a truncated body that looks complete: "+c.name, func() {
			results := make(chan exchanger.Result, 1)
			conn := dial(relay(startRaw(once(c.text, false)), results))
			conn.send(get1)
			_, err := io.Copy(io.Discard, conn.reader)
			Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
			Eventually(results).Should(Receive(Equal(exchanger.Incomplete)))
		})
	}

	It("guards against a body without a length that looks complete after a reset", func() {
		results := make(chan exchanger.Result, 1)
		conn := dial(relay(startRaw(once(untilClose, true)), results))
		conn.send("GET / HTTP/1.0\r\nHost: h\r\n\r\n") // Without chunks, a plain close would end the body.
		_, err := io.Copy(io.Discard, conn.reader)
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
		Eventually(results).Should(Receive(Equal(exchanger.Incomplete)))
	})

	It("guards against a body without a length that a caller without chunks cannot read", func() {
		results := make(chan exchanger.Result, 1)
		conn := dial(relay(startRaw(once(untilClose, false)), results))
		conn.send("GET / HTTP/1.0\r\nHost: h\r\n\r\n")
		text, err := io.ReadAll(conn.reader)
		Expect(err).NotTo(HaveOccurred())
		Expect(text).NotTo(ContainSubstring("chunked"))
		_, body, _ := bytes.Cut(text, []byte("\r\n\r\n"))
		Expect(body).To(HaveLen(size))
	})

	It("guards against a run that goes on after the caller has left in the middle of a body", func() {
		ended := make(chan struct{})
		results := make(chan exchanger.Result, 1)
		conn := dial(relay(startRaw(func(conn net.Conn, reader *bufio.Reader) {
			defer close(ended)
			readRequest(reader)
			_, _ = io.WriteString(conn, streamed(size)[:size/2])
			_, _ = reader.ReadByte() // The rest never comes.
		}), results))
		conn.send(get1)
		_, err := io.CopyN(io.Discard, conn.reader, size/4)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		Eventually(ended).WithTimeout(testTimeout).Should(BeClosed())
		Eventually(results).Should(Receive(Equal(exchanger.Aborted)))
	})

	It("guards against memory that fills up because the caller reads slowly", func() {
		var sent atomic.Int64
		results := make(chan exchanger.Result, 1)
		conn := dial(relay(startRaw(func(conn net.Conn, reader *bufio.Reader) {
			readRequest(reader)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1000000000\r\n\r\n")
			repeat(conn, "x", 0, &sent)
		}), results))
		peak := heapPeak()
		conn.send(get1)
		time.Sleep(slowDeadline)
		Expect(sent.Load()).To(BeNumerically("<", acceptedBytes))
		Expect(peak()).To(BeNumerically("<", heldBytes))
	})

	It("guards against a response that is sent before that of an earlier request", func() {
		results := make(chan exchanger.Result, 2)
		var count atomic.Int64
		conn := dial(relay(startRaw(func(conn net.Conn, reader *bufio.Reader) {
			readRequest(reader)
			if count.Add(1) == 1 {
				time.Sleep(100 * time.Millisecond)
			}
			_, _ = io.WriteString(conn, streamed(size))
			_, _ = reader.ReadByte()
		}), results))
		conn.send(get1 + get1)
		for range 2 {
			Expect(conn.answer().Body()).To(HaveLen(size))
		}
	})
})

var _ = Describe("the memory for bodies", func() {
	It("guards against responses that together take more than the bound", func() {
		memory := exchanger.NewMemory(32 << 10)
		first, second := memory.NewReservation(), memory.NewReservation()
		Expect(first.Grow(30 << 10)).To(BeTrue())
		pool := newPool(startRaw(always(reply("1", strings.Repeat("x", 16<<10)))))
		call := newCall("1")
		call.Memory = second
		Expect(pool.Do(call)).To(Equal(exchanger.Incomplete), "a call that cannot stream")
		call = newCall("1")
		call.Memory, call.Stream, call.BufferLimit = second, true, 64<<10
		Expect(pool.Do(call)).To(Equal(exchanger.Streaming))
		body, err := io.ReadAll(call.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveLen(16 << 10))
		first.Close()
		Expect(first.Grow(1)).To(BeFalse(), "after the end of its exchange")
		call = newCall("1")
		call.Memory = second
		Expect(pool.Do(call)).To(Equal(exchanger.Answered))
		second.Close()
		Expect(memory.Used()).To(BeZero())
	})
})

var _ = Describe("the memory of requests", func() {
	// startBounded starts a server whose handler waits for a release.
	startBounded := func(memory *exchanger.Memory, release chan struct{}) string {
		server := exchanger.NewServer(exchanger.ServerConfig{
			Handler: exchanger.HandlerFunc(func(*exchanger.Exchange) { <-release }), Memory: memory,
			Limits: limits, Reject: reject, Clock: timer.NewSystem(), Logger: slog.New(slog.DiscardHandler),
		})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		return listener.Addr().String()
	}
	post := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10000\r\n\r\n" + strings.Repeat("x", 10_000)
	cases := []struct {
		name string
		send string
		// leaves says that the caller disconnects before the responses.
		leaves bool
	}{
		{"answered", post, false},
		{"answered in turn", post + post + post, false},
		{"given up by the caller", post, true},
		{"given up behind others", post + post + post, true},
		{"refused as malformed", post + "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbodyzz\r\n", false},
		{"sent behind one that closes the connection", strings.Replace(post, "Host", "Connection: close\r\nHost", 1) + post, false},
	}
	for _, c := range cases {
		It("guards against memory that is never freed, until every request is refused: "+c.name, func() {
			memory := exchanger.NewMemory(1 << 20)
			release := make(chan struct{})
			conn := dial(startBounded(memory, release))
			conn.send(c.send)
			Eventually(memory.Used).WithTimeout(testTimeout).Should(BeNumerically(">=", 10_000))
			if c.leaves {
				Expect(conn.Close()).To(Succeed())
				time.Sleep(20 * time.Millisecond)
			}
			close(release)
			if !c.leaves {
				conn.answer()
				_ = conn.Close()
			}
			Eventually(memory.Used).WithTimeout(testTimeout).Should(BeZero())
		})
	}
})

// Guards against a body that depends on how the framing is split over reads.
func TestChunkedBody(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		var text, want strings.Builder
		text.WriteString("HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
		for range rapid.IntRange(0, 8).Draw(t, "chunks") {
			chunk := rapid.StringN(1, 300, 600).Draw(t, "chunk")
			fmt.Fprintf(&text, "%x%s\r\n%s\r\n", len(chunk), rapid.SampledFrom([]string{"", ";a", " ;b=\"c\""}).Draw(t, "extension"), chunk)
			want.WriteString(chunk)
		}
		text.WriteString("0\r\n" + rapid.SampledFrom([]string{"", "X-T: 1\r\n"}).Draw(t, "trailer") + "\r\n")
		seed := rapid.Uint64().Draw(t, "seed")
		client, server := net.Pipe()
		defer client.Close()
		go func() {
			random := rand.New(rand.NewPCG(seed, 0))
			readRequest(bufio.NewReader(server))
			for rest := text.String(); rest != ""; {
				n := 1 + random.IntN(min(len(rest), 700))
				_, _ = io.WriteString(server, rest[:n])
				rest = rest[n:]
			}
		}()
		call := newCall("1")
		if result := exchanger.DoOn(client, call); result != exchanger.Answered || string(call.Response.Body()) != want.String() {
			t.Fatalf("result %d, body of %d bytes, expected %d", result, len(call.Response.Body()), want.Len())
		}
	})
}

// Guards against a response's framing that crashes the daemon or that gives another
// body when it is passed on as it arrives than when it is buffered.
func FuzzFraming(f *testing.F) {
	for _, text := range []string{
		reply("1", "whole"), "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX-T: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n00000000003\r\nabc\r\n-1\r\n", "HTTP/1.1 103 E\r\n\r\n" + reply("1", ""),
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		read := func(stream bool) (exchanger.Result, []byte) {
			client, server := net.Pipe()
			defer client.Close()
			go func() {
				readRequest(bufio.NewReader(server))
				_, _ = server.Write(data)
				_ = server.Close()
			}()
			call := newCall("1")
			call.Stream, call.BodyLimit = stream, 1<<16
			result := exchanger.DoOn(client, call)
			if result != exchanger.Streaming {
				return result, call.Response.Body()
			}
			body, _ := io.ReadAll(call.Body)
			return call.Body.Result(), body
		}
		buffered, want := read(false)
		streamed, got := read(true)
		if buffered != streamed || buffered == exchanger.Answered && !bytes.Equal(want, got) {
			t.Fatalf("buffered: result %d, %q; as it arrives: result %d, %q", buffered, want, streamed, got)
		}
	})
}
