package attacker

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// answerTimeout is far longer than a request takes.
	answerTimeout = 20 * timer.Second
	answerHead    = 64 << 10
	answerBody    = 256 << 20
	retryInterval = 50 * timer.Millis(1)
)

// Send sends a request on a new connection and returns its answer. The status is 0 without
// one.
func Send(address identifier.Address, text string) (status int, body string) {
	conn, err := net.DialTimeout("tcp", string(address), dialTimeout.Duration())
	if err != nil {
		return 0, ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout.Duration())) // Fails only on a closed connection.
	go func() { _, _ = io.WriteString(conn, text) }()              // Ends at the latest when the connection is closed.
	var response fasthttp.Response
	if err = response.ReadLimitBody(bufio.NewReaderSize(conn, answerHead), answerBody); err != nil {
		return 0, ""
	}
	return response.StatusCode(), string(response.Body())
}

// AwaitAnswer sends a request again and again until it is answered with status 200. It returns
// an error if it is not, or if the process has ended.
func (p *Process) AwaitAnswer(address identifier.Address, text string) error {
	status := 0
	for end := time.Now().Add(answerTimeout.Duration()); time.Now().Before(end); time.Sleep(retryInterval.Duration()) {
		if status, _ = Send(address, text); status == fasthttp.StatusOK {
			return nil
		}
		if !p.Running() {
			return Error.New("the process has ended: %s", p.logEnd())
		}
	}
	return Error.New("an ordinary request is not answered, last status %d: %s", status, p.logEnd())
}
