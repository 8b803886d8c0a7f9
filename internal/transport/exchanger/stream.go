package exchanger

import (
	"errors"
	"io"
	"net"
	"sync"
)

const (
	// streamBuffer is the most that is read from a streamed body before it is written.
	streamBuffer = 32 << 10
	// scarceBuffer is the same while there is no memory for a larger buffer.
	scarceBuffer = 2 << 10
	// streamCost is the memory that passing on a body takes beside scarceBuffer.
	streamCost = streamHead + streamBuffer + 64
	// streamHead leaves room for the head of the response in the first write.
	streamHead = 8 << 10
	// chunkHead is the size of a chunk's size line: four digits and a line break.
	chunkHead   = 6
	chunkDigits = 4
	lastChunk   = "0\r\n\r\n"
	hexDigits   = "0123456789abcdef"
)

var streamBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, streamHead+streamBuffer+chunkHead+len(lastChunk)+2)
	return &buffer
}}

// writeStream writes a response and its body as the body arrives. The body stays
// unread while the caller does not read.
func (c *serverConn) writeStream(x *Exchange) error {
	size := scarceBuffer
	var buffer []byte
	if x.memory.Grow(streamCost) {
		size = streamBuffer
		pooled := streamBuffers.Get().(*[]byte)
		defer streamBuffers.Put(pooled)
		buffer = *pooled
	}
	length := x.body.Length
	if length == lengthChunked && !x.Request.Header.IsHTTP11() {
		length = lengthUntilClose // HTTP/1.0 has no chunks.
	}
	x.Response.Header.SetContentLength(length)
	out := append(buffer[:0], x.Response.Header.Header()...)
	for {
		var err error
		out, err = appendFromBody(out, x.body, size, length == lengthChunked)
		if err != nil && !errors.Is(err, io.EOF) {
			resetOnClose(c.conn)
			return Error.Wrap(err)
		}
		c.setWriteTimeout()
		if _, writeErr := c.conn.Write(out); writeErr != nil {
			resetOnClose(c.conn)
			return errDisconnected
		}
		if err != nil {
			return nil
		}
		out = out[:0]
	}
}

// appendFromBody appends what has arrived of a body, up to size bytes, as a chunk if chunked
// is set. It returns io.EOF at the end of the body.
func appendFromBody(out []byte, body *Body, size int, chunked bool) ([]byte, error) {
	start := len(out)
	if chunked {
		start += chunkHead
	}
	if cap(out) < start+size {
		out = append(make([]byte, 0, start+size+len(lastChunk)+2), out...)
	}
	n, err := body.Read(out[start : start+size])
	switch {
	case !chunked:
		return out[:start+n], err
	case n > 0:
		out = out[:start+n]
		appendChunkHead(out[start-chunkHead:start], n)
		return append(out, '\r', '\n'), err
	case errors.Is(err, io.EOF):
		return append(out, lastChunk...), err
	}
	return out, err
}

// appendChunkHead writes a chunk's size line of fixed length, so that the chunk's
// content can be read before its size is known.
func appendChunkHead(head []byte, size int) {
	for i := chunkDigits - 1; i >= 0; i-- {
		head[i] = hexDigits[size&0xf]
		size >>= 4
	}
	head[chunkDigits], head[chunkDigits+1] = '\r', '\n'
}

// resetOnClose makes the following close reset the connection.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Fails only on a closed connection.
	}
}
