package exchanger

import (
	"bufio"
	"bytes"
	"io"
)

// inputBuffer is the first size of the buffer of a connection.
const inputBuffer = 4 << 10

// input buffers what arrives on a connection. Its buffer grows with the head of a message,
// within a bound, and is reduced again after it; its size is counted before it is
// allocated.
type input struct {
	conn   io.Reader
	buffer []byte
	// The bytes from start to end have arrived and were not read.
	start, end int
	// limit bounds the buffer.
	limit int
	// memory holds the bytes of the buffer beyond inputBuffer.
	memory *Reservation
}

// newInput returns an input whose buffer grows to limit bytes. The memory of its first
// buffer, which is allocated when it is used, is part of the cost of the connection.
func newInput(conn io.Reader, limit int, memory *Reservation) *input {
	return &input{conn: conn, limit: limit, memory: memory}
}

// Buffered returns the number of bytes that have arrived and were not read.
func (i *input) Buffered() int { return i.end - i.start }

// arrived returns the bytes that have arrived and were not read. It is valid until the next
// call that reads from the connection.
func (i *input) arrived() []byte { return i.buffer[i.start:i.end] }

// discard discards bytes that have arrived.
func (i *input) discard(n int) { i.start += n }

// await waits until a byte has arrived.
func (i *input) await() error {
	if i.Buffered() > 0 {
		return nil
	}
	return i.more()
}

// more waits until more bytes have arrived. It returns bufio.ErrBufferFull if the buffer is
// full and errNoMemory if it cannot grow.
func (i *input) more() error {
	if i.start == i.end {
		i.start, i.end = 0, 0
	}
	if i.buffer == nil {
		i.buffer = make([]byte, min(inputBuffer, i.limit))
	}
	if i.end == len(i.buffer) {
		if err := i.makeRoom(); err != nil {
			return err
		}
	}
	for range maxEmptyReads {
		n, err := i.conn.Read(i.buffer[i.end:])
		i.end += n
		if n > 0 || err != nil {
			if n > 0 {
				err = nil // The next read returns it.
			}
			return err
		}
	}
	return io.ErrNoProgress
}

// maxEmptyReads bounds reads that return neither bytes nor an error.
const maxEmptyReads = 100

// makeRoom moves the bytes to the start of the buffer or enlarges it.
func (i *input) makeRoom() error {
	if i.start > 0 {
		i.end = copy(i.buffer, i.arrived())
		i.start = 0
		return nil
	}
	size := min(2*len(i.buffer), i.limit)
	if size <= len(i.buffer) {
		return bufio.ErrBufferFull
	}
	if !i.memory.Grow(int64(size)) {
		return errNoMemory
	}
	grown := make([]byte, size)
	copy(grown, i.arrived())
	if len(i.buffer) > inputBuffer {
		i.memory.Shrink(int64(len(i.buffer)))
	}
	i.buffer = grown
	return nil
}

// reduce replaces a buffer that has grown if what has arrived fits into a smaller one.
func (i *input) reduce() {
	if len(i.buffer) <= inputBuffer || i.Buffered() > inputBuffer {
		return
	}
	reduced := make([]byte, inputBuffer)
	n := copy(reduced, i.arrived())
	i.memory.Shrink(int64(len(i.buffer)))
	i.buffer, i.start, i.end = reduced, 0, n
}

// Read reads bytes that have arrived, or from the connection if there are none.
func (i *input) Read(p []byte) (int, error) {
	if i.Buffered() == 0 {
		if len(p) >= len(i.buffer) {
			return i.conn.Read(p)
		}
		if err := i.more(); err != nil {
			return 0, err
		}
	}
	n := copy(p, i.arrived())
	i.discard(n)
	return n, nil
}

// readLine reads up to and including a line feed. The line is valid until the next call
// that reads from the connection. It returns bufio.ErrBufferFull if the line has more than
// limit bytes.
func (i *input) readLine(limit int) ([]byte, error) {
	for searched := 0; ; {
		data := i.arrived()
		if at := bytes.IndexByte(data[searched:], '\n'); at >= 0 {
			line := data[:searched+at+1]
			i.discard(len(line))
			return line, nil
		}
		searched = len(data)
		if searched >= limit {
			return nil, bufio.ErrBufferFull
		}
		if err := i.more(); err != nil {
			return nil, err
		}
	}
}
