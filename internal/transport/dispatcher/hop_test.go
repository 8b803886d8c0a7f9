package dispatcher

import (
	"bufio"
	"fmt"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// Guards against hop-by-hop headers that reach the next hop, and against other
// headers that are removed with them.
func TestRemoveHopHeaders(t *testing.T) {
	cases := []struct {
		name, value string
		kept        bool
	}{
		{"Keep-Alive", "timeout=5", false},
		{"Te", "trailers", false},
		{"Trailer", "Expires", false},
		{"Upgrade", "h2c", false},
		{"Proxy-Authorization", "Basic x", false},
		{"X-Listed", "1", false},
		{"X-Other", "1", true},
		{"Cookie", "a=b", true},
		{"X-Second", "1", false},
		{"X-Kept", "1", true},
		{"Content-Type", "text/css", true},
	}
	const listed = "X-Listed, x-kept, HOST, Content-Length, content-type"
	kept := []string{"X-Kept"}
	for _, c := range cases {
		var request fasthttp.RequestHeader
		var response fasthttp.ResponseHeader
		fields := fmt.Sprintf("Connection: %s\r\nconnection: close, X-Second\r\n%s: %s\r\n\r\n", listed, c.name, c.value)
		if err := request.Read(bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: shop.example\r\n" + fields))); err != nil {
			t.Fatal(err)
		}
		if err := response.Read(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n" + fields))); err != nil {
			t.Fatal(err)
		}
		removeHopHeaders(&request, kept)
		removeHopHeaders(&response, kept)
		if kept := len(request.Peek(c.name)) > 0; kept != c.kept {
			t.Errorf("request header %s: kept %v", c.name, kept)
		}
		if kept := len(response.Peek(c.name)) > 0; kept != c.kept {
			t.Errorf("response header %s: kept %v", c.name, kept)
		}
		if string(request.Host()) != "shop.example" {
			t.Errorf("with header %s, the host was removed", c.name)
		}
		if request.ConnectionClose() || response.ConnectionClose() {
			t.Errorf("with header %s, the close option of the connection was kept", c.name)
		}
	}
}
