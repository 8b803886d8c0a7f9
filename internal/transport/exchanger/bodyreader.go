package exchanger

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/validator"
)

// Values of fasthttp's ContentLength for bodies without a length.
const (
	lengthChunked    = -1
	lengthUntilClose = -2
)

// Bounds of the framing of a chunked body. A sender may add extensions to each chunk
// and trailer fields after the last one (RFC 9112, section 7.1); both are discarded.
const (
	maxFramingLine = 4 << 10
	// maxFramingBytes bounds the framing of a body, apart from
	// framingPerByte bytes for each byte of content.
	maxFramingBytes = 64 << 10
	framingPerByte  = 16
	hexadecimal     = 16
	chunkSizeBits   = 62
)

var (
	errBodyTooLarge = errors.New("body is larger than the limit")
	errNoMemory     = errors.New("no memory is left for the body")
	errFraming      = errors.New("chunked framing is invalid or too long")
)

// bodyReader reads the content of a message body from a connection.
type bodyReader struct {
	reader *input
	// length is the content length, lengthChunked or lengthUntilClose.
	length int
	// limit bounds the content.
	limit int64
	// remaining is what is left of the content, or of the chunk of a chunked body.
	remaining int64
	// content and framing count the bytes read.
	content, framing int64
	err              error
	// endsBody reports whether the end of the connection ends a body without a length. Nil
	// means that it does.
	endsBody func() bool
}

func newBodyReader(reader *input, length int, limit int64) *bodyReader {
	b := &bodyReader{reader: reader, length: length, limit: limit, remaining: int64(max(0, length))}
	switch {
	case length == 0:
		b.err = io.EOF
	case b.remaining > limit:
		b.err = errBodyTooLarge
	}
	return b
}

// Read reads content. It returns io.EOF only after the end of the whole body, and
// io.ErrUnexpectedEOF if the connection ends earlier.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.err != nil || len(p) == 0 {
		return 0, b.err
	}
	if b.length == lengthChunked && b.remaining == 0 {
		if b.err = b.readChunkHead(); b.err != nil {
			return 0, b.err
		}
	}
	if b.length != lengthUntilClose {
		p = p[:min(int64(len(p)), b.remaining)]
	}
	n, err := b.reader.Read(p)
	b.content += int64(n)
	b.err = b.afterRead(int64(n), err)
	if n > 0 {
		return n, nil // The next call returns the error.
	}
	return 0, b.err
}

// afterRead returns the state of the body after n bytes of content were read.
func (b *bodyReader) afterRead(n int64, err error) error {
	if b.content > b.limit {
		return errBodyTooLarge
	}
	if b.length == lengthUntilClose {
		if errors.Is(err, io.EOF) && b.endsBody != nil && !b.endsBody() {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	b.remaining -= n
	switch {
	case err != nil:
		return unexpectedEOF(err)
	case b.remaining > 0:
		return nil
	case b.length == lengthChunked:
		return b.readChunkEnd()
	}
	return io.EOF
}

// readChunkHead reads the size line of a chunk. After the last chunk it reads the
// trailer section and returns io.EOF.
func (b *bodyReader) readChunkHead() error {
	line, err := b.readLine()
	if err != nil {
		return err
	}
	digits, extensions, _ := bytes.Cut(line, []byte{';'})
	if validator.CheckValue(extensions) != nil {
		return errFraming
	}
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), hexadecimal, chunkSizeBits)
	if err != nil {
		return errFraming
	}
	if b.content+int64(size) > b.limit {
		return errBodyTooLarge
	}
	b.remaining = int64(size)
	if size > 0 {
		return nil
	}
	for {
		if line, err = b.readLine(); err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
		if validator.CheckTrailer(line) != nil {
			return errFraming
		}
	}
}

func (b *bodyReader) readChunkEnd() error {
	line, err := b.readLine()
	if err == nil && len(line) > 0 {
		return errFraming
	}
	return err
}

// readLine returns a line of the framing without its line break. It is valid until
// the next read.
func (b *bodyReader) readLine() ([]byte, error) {
	line, err := b.reader.readLine(maxFramingLine)
	b.framing += int64(len(line))
	switch {
	case errors.Is(err, bufio.ErrBufferFull) || len(line) > maxFramingLine || b.framing > maxFramingBytes+framingPerByte*b.content:
		return nil, errFraming
	case err != nil:
		return nil, unexpectedEOF(err)
	}
	text, found := bytes.CutSuffix(line, []byte("\r\n"))
	if !found {
		return nil, errFraming
	}
	return text, nil
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

const (
	// firstBodyBuffer is the first size of the buffer of a body without a length.
	firstBodyBuffer = 4 << 10
	// readAhead is the part of an announced length that is allocated at once.
	readAhead = 64 << 10
	// maxSegment bounds the segments of the body of a request.
	maxSegment = 256 << 10
)

// readContent reads content in segments until the body ends or limit bytes are read. The
// segments are allocated as the body arrives, not as the sender announces it, and counted
// before. The error is io.EOF if the body has ended, nil if limit was reached and
// errNoMemory if the reservation could not grow.
func (b *bodyReader) readContent(limit int64, memory *Reservation) (Content, error) {
	var content Content
	for size := int64(firstBodyBuffer); b.err == nil && b.content < limit; size = min(2*size, maxSegment) {
		if left := b.remaining; b.length >= 0 && (left <= readAhead || left < size) {
			size = left
		}
		if !memory.Grow(size) {
			return content, errNoMemory
		}
		segment, err := b.fill(make([]byte, 0, size))
		if len(segment) > 0 {
			content = append(content, segment)
		}
		if err != nil {
			return content, err
		}
	}
	return content, b.err
}

// fill reads content until the buffer is full or the body ends.
func (b *bodyReader) fill(buffer []byte) ([]byte, error) {
	for len(buffer) < cap(buffer) {
		n, err := b.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err != nil {
			return buffer, err
		}
	}
	return buffer, nil
}

// readUpTo appends content to buffer until the body ends or the buffer holds limit
// bytes. The buffer grows with what arrives, not with what the sender announces. The
// error is io.EOF if the body has ended, nil if limit was reached and errNoMemory if
// the reservation could not grow; the content read so far is returned with each.
func (b *bodyReader) readUpTo(limit int64, memory *Reservation) ([]byte, error) {
	var buffer []byte
	for {
		if b.err != nil {
			return buffer, b.err
		}
		if int64(len(buffer)) >= limit {
			return buffer, nil
		}
		if len(buffer) == cap(buffer) {
			size, before := b.nextBufferSize(int64(cap(buffer)), limit), int64(cap(buffer))
			if !memory.Grow(size) { // Both buffers are held while one is copied.
				return buffer, errNoMemory
			}
			buffer = append(make([]byte, 0, size), buffer...)
			memory.Shrink(before)
		}
		n, _ := b.Read(buffer[len(buffer):min(int64(cap(buffer)), limit)]) // The error is kept in b.err.
		buffer = buffer[:len(buffer)+n]
	}
}

func (b *bodyReader) nextBufferSize(current, limit int64) int64 {
	size := max(firstBodyBuffer, 2*current)
	if b.length >= 0 {
		if b.length <= readAhead {
			return int64(b.length)
		}
		size = min(max(size, readAhead), int64(b.length))
	}
	return min(size, limit)
}
