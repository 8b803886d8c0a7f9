package dispatcher

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1), beside those
// that the Connection header names.
var hopHeaders = []string{
	fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, "Proxy-Connection", fasthttp.HeaderTE, fasthttp.HeaderTrailer,
	fasthttp.HeaderUpgrade, fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization,
}

// header is what request and response headers have in common.
type header interface {
	Peek(name string) []byte
	Del(name string)
	ResetConnectionClose()
}

// removeHopHeaders removes what a message says of the connection it came on.
func removeHopHeaders(h header) {
	for _, name := range strings.Split(string(h.Peek(fasthttp.HeaderConnection)), ",") {
		if name = strings.TrimSpace(name); name != "" {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.ResetConnectionClose()
}
