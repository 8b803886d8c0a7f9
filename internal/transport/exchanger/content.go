package exchanger

import (
	"bytes"
	"io"
)

// Content is the body of a request in one or more segments, so that it grows without being
// copied. It must not be changed once it is part of a request that is sent.
type Content [][]byte

// NewContent returns content of one segment.
func NewContent(body []byte) Content {
	if len(body) == 0 {
		return nil
	}
	return Content{body}
}

// Len returns the number of bytes.
func (c Content) Len() int {
	n := 0
	for _, segment := range c {
		n += len(segment)
	}
	return n
}

// Bytes returns the content as one slice. It is a copy if there are several segments.
func (c Content) Bytes() []byte {
	switch len(c) {
	case 0:
		return nil
	case 1:
		return c[0]
	}
	return bytes.Join(c, nil)
}

// Reader returns a reader of the content.
func (c Content) Reader() io.Reader {
	readers := make([]io.Reader, 0, len(c))
	for _, segment := range c {
		readers = append(readers, bytes.NewReader(segment))
	}
	return io.MultiReader(readers...)
}
