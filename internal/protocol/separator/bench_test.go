package separator_test

import (
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/attacker"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/separator"
)

// BenchmarkSeparate measures heads of usual and of many short lines.
func BenchmarkSeparate(b *testing.B) {
	names := separator.NewNames([]string{"X-Request-Id", "Idempotency-Key", "User-Agent"}, []string{"X-Caller", "X-Depth"})
	for _, c := range []struct{ name, text string }{
		{"usual", "GET /orders/5?x=1 HTTP/1.1\r\nHost: shop.example\r\nUser-Agent: a/1\r\nAccept: */*\r\nAccept-Encoding: gzip\r\n" +
			"X-Request-Id: 1234\r\nIdempotency-Key: 17\r\nConnection: keep-alive\r\nCookie: a=b; c=d\r\nContent-Type: text/plain\r\n\r\n"},
		{"short lines", attacker.Head("GET / HTTP/1.1\r\nHost: h\r\n", "a:\r\n", 16<<10)},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.SetBytes(int64(len(c.text)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := names.Separate([]byte(c.text)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
