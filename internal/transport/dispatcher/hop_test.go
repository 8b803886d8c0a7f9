package dispatcher

import (
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
	}
	for _, c := range cases {
		var request fasthttp.RequestHeader
		var response fasthttp.ResponseHeader
		request.Set("Connection", "close, X-Listed")
		response.Set("Connection", "close, X-Listed")
		request.Set(c.name, c.value)
		response.Set(c.name, c.value)
		removeHopHeaders(&request)
		removeHopHeaders(&response)
		if kept := len(request.Peek(c.name)) > 0; kept != c.kept {
			t.Errorf("request header %s: kept %v", c.name, kept)
		}
		if kept := len(response.Peek(c.name)) > 0; kept != c.kept {
			t.Errorf("response header %s: kept %v", c.name, kept)
		}
		if request.ConnectionClose() || response.ConnectionClose() {
			t.Errorf("with header %s, the close option of the connection was kept", c.name)
		}
	}
}
