package separator_test

import (
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/attacker"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/separator"
)

// Guards against work that grows faster than the bytes of a head which arrives byte by byte.
// A line feed in place of a byte that was looked at would end the head if it were looked at
// again.
func TestEndLooksAtEachByteOnce(t *testing.T) {
	text := attacker.Head("GET / HTTP/1.1\r\nHost: h\r\n", "a:\r\n", 1000)
	var end separator.End
	var data []byte
	for i := range len(text) {
		data = append(data, text[i])
		size, err := end.Find(data)
		if err != nil {
			t.Fatal(err)
		}
		if last := i == len(text)-1; last != (size > 0) || last && size != len(text) {
			t.Fatalf("after %d bytes of %d the head has %d", i+1, len(text), size)
		}
		if text[i] != '\r' {
			data[i] = '\n'
		}
	}
}
