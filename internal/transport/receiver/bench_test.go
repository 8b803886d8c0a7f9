package receiver_test

import (
	"testing"

	"github.com/valyala/fasthttp"
)

func respondOK(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") }

// BenchmarkPath compares a call through ingress and admission with a direct
// call, over loopback sockets in one process.
func BenchmarkPath(b *testing.B) {
	backend := startServer(b, respondOK)
	env := newEnvironment(b, backend)
	for _, path := range []struct{ name, address string }{{"direct", backend}, {"proxied", env.address}} {
		b.Run(path.name, func(b *testing.B) {
			client := fasthttp.HostClient{Addr: path.address, MaxIdemponentCallAttempts: 1}
			request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			request.SetRequestURI("http://" + path.address + "/x")
			b.ReportAllocs()
			for b.Loop() {
				if err := client.Do(request, response); err != nil || response.StatusCode() != fasthttp.StatusOK {
					b.Fatal(err, response.StatusCode(), string(response.Body()))
				}
			}
		})
	}
}
