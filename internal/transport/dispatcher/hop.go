package dispatcher

import (
	"iter"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"
)

// hopHeaders apply to one connection only (RFC 9110, section 7.6.1), as do those
// that the Connection header names.
var hopHeaders = []string{
	fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, "Proxy-Connection", fasthttp.HeaderTE, fasthttp.HeaderTrailer,
	fasthttp.HeaderUpgrade, fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization,
}

// messageHeaders describe the message. No Connection header removes them: the message would
// have another meaning without them.
var messageHeaders = []string{
	fasthttp.HeaderHost, fasthttp.HeaderContentLength, fasthttp.HeaderTransferEncoding, fasthttp.HeaderContentType,
	fasthttp.HeaderContentEncoding, fasthttp.HeaderAuthorization,
}

// maxOptions bounds the options of a Connection header that are looked at. Those of requests
// were applied when the request was read.
const maxOptions = 64

// header is the common part of request and response headers.
type header interface {
	All() iter.Seq2[[]byte, []byte]
	Del(name string)
	ResetConnectionClose()
}

// removeHopHeaders removes the headers that apply only to the connection on which a message
// came. The sender cannot remove one of the kept names, on which both ends rely.
func removeHopHeaders(h header, kept []string) {
	var listed []string
	for name, value := range h.All() {
		if strings.EqualFold(string(name), fasthttp.HeaderConnection) {
			listed = append(listed, strings.SplitN(string(value), ",", maxOptions)...)
		}
	}
	for _, name := range listed[:min(len(listed), maxOptions)] {
		if name = strings.TrimSpace(name); name != "" && !containsName(kept, name) && !containsName(messageHeaders, name) {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.ResetConnectionClose()
}

func containsName(names []string, name string) bool {
	return slices.ContainsFunc(names, func(n string) bool { return strings.EqualFold(n, name) })
}
