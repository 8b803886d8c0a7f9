package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Names and times of the requests.
const (
	host          = "jepu9.example"
	pathRead      = "/lepu270/"
	pathOrder     = "/xapu221/"
	clientTimeout = 2500 * time.Millisecond
)

// answered is the answer to a request. The status is 0 if there was none.
type answered struct {
	status    int
	signature string
	body      string
}

var (
	requests atomic.Uint64
	// sendTimes holds the time at which each request was sent, by its id.
	sendTimes sync.Map
	// statuses holds the status of each answer, 0 for none, by the id of the request.
	statuses sync.Map
)

// sentAt returns the time at which a request was sent.
func sentAt(id string) time.Time {
	sent, _ := sendTimes.Load(id)
	at, _ := sent.(time.Time) // Zero if there is no such request.
	return at
}

// send sends a request on a new connection of its own. Extra holds further header lines.
func send(r *record, to, method, path string, extra ...string) (id string, a answered) {
	id = fmt.Sprintf("%016x", requests.Add(1))
	sendTimes.Store(id, time.Now())
	r.printf("client sends %s %s %s to %s %s", id, method, path, to, strings.Join(extra, "; "))
	defer func() {
		statuses.Store(id, a.status)
		r.printf("client gets %s: %d", id, a.status)
	}()
	lines := append([]string{
		method + " " + path + " HTTP/1.1", "Host: " + host, "X-Request-Id: " + id,
		fmt.Sprintf("X-Request-Deadline: %d", clientTimeout.Milliseconds()), "Content-Length: 0",
	}, extra...)
	return id, roundTrip(to, clientTimeout, strings.Join(lines, "\r\n")+"\r\n\r\n")
}

// roundTrip writes a request on a new connection and reads its answer.
func roundTrip(to string, timeout time.Duration, request string) (a answered) {
	conn, err := net.DialTimeout("tcp4", to, time.Second)
	if err != nil {
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout)) // Fails only on a closed connection.
	if _, err := io.WriteString(conn, request); err != nil {
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return a
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return a
	}
	return answered{status: response.StatusCode, signature: response.Header.Get("X-Response-Signature"), body: string(body)}
}

// load sends requests through the daemons of some VMs until it is stopped.
type load struct {
	stop chan struct{}
	done sync.WaitGroup
}

// startLoad sends a request to each VM at an interval, in turn one that may be repeated
// and one that may not.
func startLoad(r *record, vms []*vm, interval time.Duration) *load {
	l := &load{stop: make(chan struct{})}
	for _, v := range vms {
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				case <-ticker.C:
				}
				method, path := "GET", pathRead
				if n%2 == 1 {
					method, path = "POST", pathOrder
				}
				l.done.Add(1)
				go func() {
					defer l.done.Done()
					send(r, v.addresses.Callers, method, fmt.Sprintf("%s%x", path, n))
				}()
			}
		}()
	}
	return l
}

// end stops the load and waits for the answers.
func (l *load) end() {
	close(l.stop)
	l.done.Wait()
}
