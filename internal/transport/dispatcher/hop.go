package dispatcher

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// hopHeaders apply to one connection only (RFC 9110, section 7.6.1), as do those
// that the Connection header names.
var hopHeaders = []string{
	fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, "Proxy-Connection", fasthttp.HeaderTE, fasthttp.HeaderTrailer,
	fasthttp.HeaderUpgrade, fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization,
}

// header is the common part of request and response headers.
type header interface {
	Peek(name string) []byte
	Del(name string)
	ResetConnectionClose()
}

// removeHopHeaders removes the headers that apply only to the connection on which
// a message came.
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
