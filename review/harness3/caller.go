package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const callerDeadline = 2 * time.Second

// requestNumber makes the ids of requests.
var requestNumber atomic.Int64

// answer is what a caller got. A status of 0 means that there was no whole answer.
type answer struct {
	ID     string
	Status int
	Signed bool
	Body   string
	Err    error
}

// call sends a request to the daemon of a VM on a new connection.
func (v *vm) call(method, target, body string) answer {
	id := fmt.Sprintf("r-%06d", requestNumber.Add(1))
	a := answer{ID: id}
	request, err := http.NewRequest(method, "http://"+v.address(portCallers)+target, strings.NewReader(body))
	if err != nil {
		a.Err = err
		return a
	}
	request.Host = host
	request.Close = true
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Request-Deadline", fmt.Sprint(callerDeadline.Milliseconds()))
	v.fleet.record.note("sent: vm %d, id %s, %s %s %.40q", v.number, id, method, target, body)
	client := &http.Client{Timeout: callerDeadline + time.Second, Transport: &http.Transport{DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		a.Err = err
		v.fleet.record.note("answered: id %s, %v", id, err)
		return a
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	a.Err, a.Body = err, string(data)
	a.Signed = response.Header.Get("X-Response-Signature") != ""
	if err == nil {
		a.Status = response.StatusCode
	}
	v.fleet.record.note("answered: id %s, status %d, signed %v, %d bytes, %v", id, response.StatusCode, a.Signed, len(data), err)
	return a
}

// background sends requests that may be repeated, each with a path of its own, to all VMs in
// turn until stop is called.
func (f *fleet) background(interval time.Duration) (stop func()) {
	done := make(chan struct{})
	var calls sync.WaitGroup
	calls.Add(1)
	go func() {
		defer calls.Done()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
			calls.Add(1)
			go func() {
				defer calls.Done()
				f.vms[n%len(f.vms)].call(http.MethodGet, fmt.Sprintf("/lookups/%d", n), "")
			}()
		}
	}()
	return func() {
		close(done)
		calls.Wait()
	}
}
