package exchanger

import (
	"bufio"

	"github.com/valyala/fasthttp"
)

// Request is a request whose fields that are only passed on stay as they arrived.
type Request struct {
	// Header has the request line and the fields that the process reads or sets.
	Header fasthttp.RequestHeader
	// Fields are the other fields, a line each. Copies of the request share them, so they
	// must not be changed.
	Fields []byte
	Body   Content
}

// CopyTo makes a copy with a Header of its own. Fields and Body are shared.
func (r *Request) CopyTo(to *Request) {
	r.Header.CopyTo(&to.Header)
	to.Header.SetNoDefaultContentType(true)
	to.Fields, to.Body = r.Fields, r.Body
}

// HeaderCost returns the memory that a copy takes while it is sent, in bytes.
func (r *Request) HeaderCost() int64 {
	return headerCopies * int64(len(r.Header.RequestURI())+len(r.Header.Host())+len(r.Header.RawHeaders()))
}

// headerCopies is how often a Header holds a field: parsed, as it arrived and as it is
// written.
const headerCopies = 3

// hasLength reports whether the request tells the length of its body, also of an empty one.
func (r *Request) hasLength() bool {
	h := &r.Header
	return r.Body.Len() > 0 || !h.IsGet() && !h.IsHead() || h.ContentLength() > 0 || len(h.Peek(fasthttp.HeaderTransferEncoding)) > 0
}

// write writes the request.
func (r *Request) write(w *bufio.Writer) error {
	if r.hasLength() {
		r.Header.SetContentLength(r.Body.Len())
	}
	head := r.Header.Header()
	end := len(head) - len(lineEnd)
	for _, part := range [][]byte{head[:end], r.Fields, head[end:]} {
		if _, err := w.Write(part); err != nil {
			return Error.Wrap(err)
		}
	}
	for _, segment := range r.Body {
		if _, err := w.Write(segment); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

const lineEnd = "\r\n"
