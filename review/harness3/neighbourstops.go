package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/magnoliaknot/magnoliaknot/platform/standin"
)

const (
	// pipelineDepth is the number of requests that a caller sends before it reads the
	// first answer.
	pipelineDepth = 3
	// pipelines is the number of connections that callers keep to each daemon.
	pipelines       = 4
	pipelinePause   = 100 * time.Millisecond
	pipelineTimeout = 4 * time.Second
	pipelineWork    = 700 * time.Millisecond
	stops           = 8
	// stopInterval is the time from one stop of a daemon to the next.
	stopInterval = 7 * time.Second
	// graceS is the time after which the platform kills a stopped daemon.
	graceS = 6 * time.Second
	// maxDropped is the number of requests that the rule allows to be dropped.
	maxDropped = 3
)

// dropped is a request that a caller sent behind another one, whose answer closed the
// connection.
type dropped struct {
	id, behind string
	vm         int
}

// droppedList is safe for concurrent use.
type droppedList struct {
	mu   sync.Mutex
	list []dropped
}

func (l *droppedList) add(d dropped) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, d)
}

// playNeighbourStops stops and starts, in turn, the daemons beside the backend servers of a
// service. Callers send requests that may be repeated to the daemons of other VMs, which are
// never disturbed, on kept connections and several at a time. The rule allows three of
// these requests to be passed on and get no answer because their connection is closed.
func playNeighbourStops(f *fleet, trouble bool) (string, error) {
	err := f.configure(standin.Configuration(1, standin.Route{Name: "lookups", Prefix: "/lookups/", Idempotent: true}))
	if err != nil {
		return "", err
	}
	var lost droppedList
	done := make(chan struct{})
	var callers sync.WaitGroup
	for _, v := range f.vms {
		if v.service == standin.ServiceName {
			continue
		}
		for range pipelines {
			callers.Go(func() { v.keepCalling(done, &lost) })
		}
	}
	time.Sleep(stopInterval)
	for n := range stops {
		next := time.Now().Add(stopInterval)
		if trouble {
			if err = f.vms[n%2].restartDaemon(); err != nil {
				break
			}
		}
		time.Sleep(time.Until(next))
	}
	close(done)
	callers.Wait()
	if err != nil {
		return "", err
	}
	return f.judgeDropped(lost.list)
}

// restartDaemon stops a daemon as the platform does and starts it again.
func (v *vm) restartDaemon() error {
	v.mu.Lock()
	ended := v.daemonEnded
	v.mu.Unlock()
	v.signalDaemon(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(graceS):
		v.signalDaemon(syscall.SIGKILL)
		<-ended
	}
	return v.startDaemon()
}

// keepCalling sends requests to the daemon, several at a time, until done is closed.
func (v *vm) keepCalling(done <-chan struct{}, lost *droppedList) {
	for {
		if err := v.pipeline(done, lost); err != nil {
			v.fleet.record.note("connection to vm %d: %v", v.number, err)
		}
		select {
		case <-done:
			return
		case <-time.After(pipelinePause):
		}
	}
}

// pipeline uses one connection until an answer closes it or it fails.
func (v *vm) pipeline(done <-chan struct{}, lost *droppedList) error {
	conn, err := net.Dial("tcp4", v.address(portCallers))
	if err != nil {
		return err
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		select {
		case <-done:
			return nil
		case <-time.After(pipelinePause):
		}
		_ = conn.SetDeadline(time.Now().Add(pipelineTimeout)) // Fails only on a closed connection.
		ids, err := v.sendPipelined(conn)
		if err != nil {
			return err
		}
		for n, id := range ids {
			closes, err := v.readAnswer(reader, id)
			if err != nil {
				return fmt.Errorf("no answer to %s: %w", id, err)
			}
			if !closes {
				continue
			}
			// The caller respects Connection: close. The requests behind this answer
			// count as not read.
			for _, behind := range ids[n+1:] {
				v.fleet.record.note("dropped: id %s behind the closing answer to %s of vm %d", behind, id, v.number)
				lost.add(dropped{id: behind, behind: id, vm: v.number})
			}
			return nil
		}
	}
}

func (v *vm) sendPipelined(conn net.Conn) ([]string, error) {
	var ids []string
	var requests strings.Builder
	for range pipelineDepth {
		id := fmt.Sprintf("r-%06d", requestNumber.Add(1))
		ids = append(ids, id)
		v.fleet.record.note("sent: vm %d, id %s, GET /lookups/%s", v.number, id, id)
		fmt.Fprintf(
			&requests, "GET /lookups/%s?ms=%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: 2500\r\n\r\n",
			id, pipelineWork.Milliseconds(), host, id,
		)
	}
	_, err := io.WriteString(conn, requests.String())
	return ids, err
}

// readAnswer reads one answer and reports whether it closes the connection.
func (v *vm) readAnswer(reader *bufio.Reader, id string) (closes bool, err error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false, err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return false, err
	}
	v.fleet.record.note("answered: id %s, status %d, close %v, %d bytes", id, response.StatusCode, response.Close, len(body))
	if got := response.Header.Get("X-Request-Id"); got != id {
		return false, fmt.Errorf("the answer is to %q", got)
	}
	return response.Close, nil
}

// judgeDropped applies the rule on requests of kept connections: it counts those that were
// dropped though a backend server had begun to run them.
func (f *fleet) judgeDropped(lost []dropped) (string, error) {
	ran := map[string]bool{}
	for _, a := range f.record.matching(func(arrival) bool { return true }) {
		ran[a.ID] = true
	}
	if len(ran) == 0 {
		return "", fmt.Errorf("no requests were served")
	}
	count := 0
	for _, d := range lost {
		if ran[d.id] {
			count++
		}
	}
	f.record.note("%d requests ran, %d were dropped behind a closing answer, %d of these ran", len(ran), len(lost), count)
	if count <= maxDropped {
		return "", nil
	}
	return fmt.Sprintf(
		"LOST: daemons in touch passed %d requests of kept connections on to sound backend servers and closed the connections without an answer",
		count,
	), nil
}
