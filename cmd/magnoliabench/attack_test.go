package main

import (
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// Guards against crowds that are sent to other machines or without a bound, and against a
// report that leaves out a shape.
func TestAttack(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() { _ = fasthttp.Serve(listener, func(ctx *fasthttp.RequestCtx) { ctx.SetConnectionClose() }) }()
	for _, c := range []struct {
		arguments []string
		want      string // In the output, or in the error.
	}{
		{[]string{"--target", listener.Addr().String(), "--connections", "2", "--times", "1", "--linger-ms", "50"}, "lines of 4 bytes"},
		{[]string{"--target", "192.0.2.1:80"}, "is not a loopback address"},
		{[]string{"--target", "127.0.0.1:80", "--connections", "0", "--times", "1001"}, "--times 1001 is not between 1 and 1000"},
	} {
		command := newAttackCommand()
		var out strings.Builder
		command.SetOut(&out)
		command.SetErr(&out)
		command.SetArgs(c.arguments)
		if err := command.ExecuteContext(t.Context()); err != nil {
			out.WriteString(err.Error())
		}
		if !strings.Contains(out.String(), c.want) {
			t.Errorf("%q: %s", c.arguments, out.String())
		}
	}
}
