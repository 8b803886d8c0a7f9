package exchanger

import (
	"errors"
	"io"
	"os"
	"sync"
)

// Body is the body of a response that is read as it arrives. The connection stays in
// use until the body has ended or Close is called, and an error resets it. Read and
// Close must not be called at the same time; Call.Abort may be called at any time.
type Body struct {
	// Length is the length of the whole body, or -1 if it is not known.
	Length int

	// buffered is content that was read before the body was handed out.
	buffered []byte
	reader   *bodyReader
	// release gives the connection back after the body has ended.
	release func(Result) Result
	once    sync.Once
	result  Result
}

// Read reads content. It returns io.EOF only after the end of the whole body.
func (b *Body) Read(p []byte) (int, error) {
	if len(b.buffered) > 0 {
		n := copy(p, b.buffered)
		b.buffered = b.buffered[n:]
		return n, nil
	}
	n, err := b.reader.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.end(Answered)
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.end(TimedOut)
	default:
		b.end(Incomplete)
	}
	return n, err
}

// Close ends the body. If it has not been read to its end, the connection is reset.
func (b *Body) Close() { b.end(Aborted) }

// Result returns how the body ended: Answered, Incomplete, TimedOut or Aborted. It
// must be called after Read has returned an error or Close has returned.
func (b *Body) Result() Result { return b.result }

func (b *Body) end(result Result) {
	b.once.Do(func() {
		b.buffered = nil
		b.result = b.release(result)
	})
}
