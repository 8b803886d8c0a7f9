package exchanger_test

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
)

// During a network outage the kernel keeps the data written to a connection and
// delivers it when the outage ends, even after a plain close. Only a reset discards it.
var _ = Describe("a call that was given up", func() {
	cases := []struct {
		name    string
		endCall func(call *exchanger.Call)
		result  exchanger.Result
	}{
		{"its caller has disconnected", func(call *exchanger.Call) {
			time.AfterFunc(50*time.Millisecond, call.Abort)
		}, exchanger.Aborted},
		{"its deadline has passed", func(call *exchanger.Call) {
			call.Deadline = time.Now().Add(50 * time.Millisecond)
		}, exchanger.TimedOut},
	}
	for _, c := range cases {
		It("guards against a request that is delivered long after its call ended: "+c.name, func() {
			ends := make(chan error, 1)
			call := newCall("1")
			c.endCall(call)
			pool := newPool(startRaw(func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				_, err := conn.Read(make([]byte, 1))
				ends <- err
			}))
			Expect(pool.Do(call)).To(Equal(c.result))
			var end error
			Eventually(ends).Should(Receive(&end))
			Expect(errors.Is(end, syscall.ECONNRESET)).To(BeTrue(), "%v", end)
		})
	}
})
