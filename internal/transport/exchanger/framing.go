package exchanger

import (
	"bytes"
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

var contentLengthName = []byte("\ncontent-length:")

// hasRawContentLength reports whether a raw header block has a Content-Length field.
func hasRawContentLength(raw []byte) bool {
	return bytes.Contains(append([]byte{'\n'}, bytes.ToLower(raw)...), contentLengthName)
}

func isConnectionEnd(err error) bool {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return true
	}
	var nothing fasthttp.ErrNothingRead
	return errors.As(err, &nothing)
}
