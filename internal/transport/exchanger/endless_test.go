package exchanger_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
)

const (
	// endlessBytes is what a sender without end sends at most, so that a test ends.
	endlessBytes = 256 << 20
	// acceptedBytes bounds what is taken from such a sender: the limits of a message and
	// what fits into the buffers of the sockets.
	acceptedBytes = 24 << 20
	// heldBytes bounds the memory that one such sender may occupy.
	heldBytes    = 4 << 20
	testBody     = 256 << 10
	slowInterval = 5 * time.Millisecond
	slowDeadline = 300 * time.Millisecond
)

// repeat sends a text again and again until the other end closes, and counts the bytes
// that it could send. With an interval it sends single bytes.
func repeat(conn net.Conn, text string, interval time.Duration, sent *atomic.Int64) {
	block := []byte(text)
	if interval == 0 {
		block = bytes.Repeat(block, 1+(64<<10)/len(text))
	}
	for at := 0; sent.Load() < endlessBytes; at++ {
		part := block
		if interval > 0 {
			time.Sleep(interval)
			part = block[at%len(block) : at%len(block)+1]
		}
		n, err := conn.Write(part)
		sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// heapPeak returns a function that reports by how much the live heap has grown at most.
func heapPeak() func() int64 {
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	var peak atomic.Int64
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(10 * time.Millisecond)
		defer ticker.Stop()
		for {
			runtime.GC()
			runtime.ReadMemStats(&now)
			peak.Store(max(peak.Load(), int64(now.HeapAlloc)-int64(before.HeapAlloc)))
			select {
			case <-done:
				return
			case <-ticker.C:
			}
		}
	}()
	return func() int64 { close(done); return peak.Load() }
}

// Bytes that are no answer may come without end, in a head or in a body, until the
// caller closes. They must not take the memory or the time of a daemon.
var _ = Describe("a response without end", func() {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	cases := []struct {
		name, start, repeated string
		result                exchanger.Result
	}{
		{"in a status line", "HTTP/1.1 200 O", "K", exchanger.Incomplete},
		{"in the fields of a head", head, "X-A: aaaaaaaaaaaaaaaaaaaaaaaa\r\n", exchanger.Incomplete},
		{"in one field", head + "X-A: ", "a", exchanger.Incomplete},
		{"before the status line", "", "\r\n", exchanger.Incomplete},
		{"that is not HTTP", "", "\x00\x01\x02\xff", exchanger.Incomplete},
		{"of interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", exchanger.Incomplete},
		{"in a body that ends with its connection", head + "\r\n", "body", exchanger.Incomplete},
		{"in a body longer than the limit", head + "Content-Length: 1000000000000\r\n\r\n", "body", exchanger.Incomplete},
		{"in a chunked body", head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n", exchanger.Incomplete},
		{"in one chunk", head + "Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n", "body", exchanger.Incomplete},
		{"in a chunk's size", head + "Transfer-Encoding: chunked\r\n\r\n", "0", exchanger.Incomplete},
		{"in a chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;", "a", exchanger.Incomplete},
		{"in many chunk extensions", head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("a", 2000) + "\r\nb\r\n", exchanger.Incomplete},
		{"in trailer fields", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: aaaaaaaaaaaaaaaaaaaaaaaa\r\n", exchanger.Incomplete},
		{"in one trailer field", head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", "a", exchanger.Incomplete},
		{"of answers to other requests", "", reply("0", "late"), exchanger.Incomplete},
		{"in an answer to another request", "HTTP/1.1 200 OK\r\nX-Id: 0\r\n\r\n", "late", exchanger.Incomplete},
		{"after the response", reply("1", "whole"), "more", exchanger.Answered},
	}
	script := func(start, repeated string, interval time.Duration, sent *atomic.Int64, ended chan struct{}) func(net.Conn, *bufio.Reader) {
		return func(conn net.Conn, reader *bufio.Reader) {
			defer close(ended)
			readRequest(reader)
			_, _ = io.WriteString(conn, start)
			repeat(conn, repeated, interval, sent)
		}
	}
	for _, c := range cases {
		It("guards against a call that takes memory without a bound: "+c.name, func() {
			var sent atomic.Int64
			ended := make(chan struct{})
			call := newCall("1")
			call.BodyLimit = testBody
			pool := newPool(startRaw(script(c.start, c.repeated, 0, &sent, ended)))
			peak := heapPeak()
			Expect(pool.Do(call)).To(Equal(c.result))
			pool.CloseIdle()
			Eventually(ended).WithTimeout(testTimeout).Should(BeClosed(), "the connection stays open")
			Expect(sent.Load()).To(BeNumerically("<", acceptedBytes))
			Expect(peak()).To(BeNumerically("<", heldBytes))
		})
	}
	for _, c := range cases {
		if c.result == exchanger.Answered {
			continue
		}
		It("guards against a call that lasts beyond its deadline because bytes keep arriving: "+c.name, func() {
			var sent atomic.Int64
			ended := make(chan struct{})
			call := newCall("1")
			call.BodyLimit = testBody
			call.Deadline = time.Now().Add(slowDeadline)
			started := time.Now()
			result := newPool(startRaw(script(c.start, c.repeated, slowInterval, &sent, ended))).Do(call)
			Expect(result).To(BeElementOf(exchanger.TimedOut, exchanger.Incomplete))
			Expect(time.Since(started)).To(BeNumerically("<", testTimeout))
			Eventually(ended).WithTimeout(testTimeout).Should(BeClosed(), "the connection stays open")
		})
	}
})

var _ = Describe("a request without end", func() {
	const head = "POST / HTTP/1.1\r\nHost: h\r\n"
	cases := []struct {
		name, start, repeated string
		status                int
	}{
		{"in its target", "GET /", "a", 431},
		{"in its fields", head, "X-A: aaaaaaaaaaaaaaaaaaaaaaaa\r\n", 431},
		{"in a chunked body", head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n", 413},
		{"in a chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;", "a", 400},
		{"in trailer fields", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: aaaaaaaaaaaaaaaaaaaaaaaa\r\n", 400},
		{"in a body of a known length", head + "Content-Length: 1000000000000\r\n\r\n", "body", 413},
	}
	for _, c := range cases {
		It("guards against a caller that takes memory without a bound: "+c.name, func() {
			_, address := startServer(func(*exchanger.Exchange) {})
			conn := dial(address)
			conn.send(c.start)
			var sent atomic.Int64
			peak := heapPeak()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				repeat(conn, c.repeated, 0, &sent)
			}()
			Expect(conn.answer().StatusCode()).To(Equal(c.status))
			Eventually(ended).WithTimeout(testTimeout).Should(BeClosed(), "the connection stays open")
			Expect(sent.Load()).To(BeNumerically("<", acceptedBytes))
			Expect(peak()).To(BeNumerically("<", heldBytes))
		})
	}
})
