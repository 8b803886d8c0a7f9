package dispatcher

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Guards against connections to former members that stay open, and against
// closing those to current members.
func TestRetainClosesConnectionsToFormerMembers(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := exchanger.NewServer(exchanger.ServerConfig{
		Handler: exchanger.HandlerFunc(func(*exchanger.Exchange) {}), Clock: timer.NewBoot(),
		Limits: func() exchanger.Limits {
			return exchanger.Limits{HeaderBytes: 1 << 12, BodyBytes: 1, HeaderTimeout: timer.Second, IdleTimeout: timer.Second}
		},
	})
	go func() { _ = server.Serve(listener) }() // Ends with Close.
	defer server.Close()
	address := identifier.Address(listener.Addr().String())
	peers := NewPeers(nil, nil)
	reused := func() bool {
		call := &exchanger.Call{
			Request: &exchanger.Request{}, Response: &fasthttp.Response{},
			Deadline: time.Now().Add(time.Second), MaxReuseIdle: timer.Second,
		}
		call.Request.Header.SetRequestURI("/")
		call.Request.Header.SetHost(string(address))
		if result := peers.Pool(address).Do(call); result != exchanger.Answered {
			t.Fatalf("result %v", result)
		}
		return call.Reused
	}
	cases := []struct {
		name   string
		member bool
		reused bool
	}{
		{"a member's connection is kept", true, true},
		{"a former member's connection is closed", false, false},
	}
	reused()
	for _, c := range cases {
		peers.Retain(func(identifier.Address) bool { return c.member })
		if got := reused(); got != c.reused {
			t.Errorf("%s: reused %v", c.name, got)
		}
	}
}
