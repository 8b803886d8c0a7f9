package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// client sends requests from one machine.
type client struct {
	d    *deployment
	m    *machine
	http *http.Client
	// key is the key of a tenant; empty means none.
	key string
}

func newClient(d *deployment, m *machine) *client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &client{d: d, m: m, http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: 10 * time.Second, MaxIdleConnsPerHost: 16}}}
}

// send sends one request and waits for its answer.
func (c *client) send(method, host, path, body string, deadline time.Duration) *request {
	q := &request{id: fmt.Sprintf("%016x", rand.Uint64()), machine: c.m.name, path: path}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.d.address(c.m, portOutbound)+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set("X-Request-Id", q.id)
	r.Header.Set("X-Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	c.d.record.send(q)
	response, err := c.http.Do(r)
	if err != nil {
		c.d.record.answer(q, 0, err.Error())
		return q
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		c.d.record.answer(q, response.StatusCode, err.Error())
		return q
	}
	c.d.record.answer(q, response.StatusCode, "")
	return q
}

// steady sends requests at an interval until the end of the context.
func (c *client) steady(ctx context.Context, interval time.Duration, method, host, prefix string, deadline time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		go c.send(method, host, fmt.Sprintf("%s%x", prefix, rand.Uint32()), "", deadline)
		<-ticker.C
	}
}
