package exchanger

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/valyala/fasthttp"
)

// headBuffer is the size of the pooled readers, which hold most heads.
const headBuffer = 4 << 10

var headReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, headBuffer) }}

// parseHead parses a whole head with one of fasthttp's functions, which read from a buffered
// reader.
func parseHead(head []byte, parse func(*bufio.Reader) error) error {
	if len(head) > headBuffer {
		return parse(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
	}
	reader := headReaders.Get().(*bufio.Reader)
	defer headReaders.Put(reader)
	reader.Reset(bytes.NewReader(head))
	err := parse(reader)
	reader.Reset(nil)
	return err
}

var contentLengthName = []byte(fasthttp.HeaderContentLength)

// hasRawContentLength reports whether a raw header block has a Content-Length field.
func hasRawContentLength(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if name, _, found := bytes.Cut(line, []byte{':'}); found && bytes.EqualFold(name, contentLengthName) {
			return true
		}
	}
	return false
}

func isConnectionEnd(err error) bool {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return true
	}
	var nothing fasthttp.ErrNothingRead
	return errors.As(err, &nothing)
}
