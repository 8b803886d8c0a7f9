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

// A cut network keeps what was sent on a connection and delivers it when the cut ends,
// also after the connection was closed. Only a reset takes it back.
var _ = Describe("a call that was given up", func() {
	cases := []struct {
		name   string
		giveUp func(call *exchanger.Call)
		result exchanger.Result
	}{
		{"its caller has gone", func(call *exchanger.Call) {
			time.AfterFunc(50*time.Millisecond, call.Abort)
		}, exchanger.Aborted},
		{"its time has ended", func(call *exchanger.Call) {
			call.Deadline = time.Now().Add(50 * time.Millisecond)
		}, exchanger.TimedOut},
	}
	for _, c := range cases {
		It("guards against a request that runs long after its end: "+c.name, func() {
			ends := make(chan error, 1)
			call := newCall("1")
			c.giveUp(call)
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
