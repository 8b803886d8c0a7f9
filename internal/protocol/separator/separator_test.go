package separator_test

import (
	"bufio"
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/attacker"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/separator"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
)

var names = separator.NewNames([]string{"X-Request-Id"}, []string{"X-Caller", "Authorization"})

// separate finds the end of the head that a text begins with and separates it.
func separate(text string) (separator.Head, int, error) {
	var end separator.End
	size, err := end.Find([]byte(text))
	if err != nil || size == 0 {
		return separator.Head{}, size, err
	}
	head, err := names.Separate([]byte(text)[:size])
	return head, size, err
}

// Guards against fields that are lost, changed, passed on though they concern only the
// connection, or kept though they are to be removed.
func TestSeparate(t *testing.T) {
	const start = "GET /a?b HTTP/1.1\r\n"
	for _, c := range []struct {
		name, fields  string
		known, others string
		closes        bool
	}{
		{"none", "", "", "", false},
		{"known and others", "Host: h\r\nx-request-id: 1\r\nX-A: 1\r\nx-b:2\r\n", "Host: h\r\nx-request-id: 1\r\n", "X-A: 1\r\nx-b:2\r\n", false},
		{"line feeds only", "Host: h\na:\nb: 2\n", "Host: h\r\n", "a:\r\nb: 2\r\n", false},
		{"folded", "X-A: 1\r\n  2 \r\n\t\r\n 3\r\nHost: h\r\n i\r\n", "Host: h i\r\n", "X-A: 1 2 3\r\n", false},
		{"close", "Connection: Close\r\nX-A: 1\r\n", "", "X-A: 1\r\n", true},
		{"listed", "X-A: 1\r\nConnection: x-b ,\tX-C,,keep-alive\r\nX-B: 2\r\nx-c: 3\r\n", "", "X-A: 1\r\n", false},
		{"listed on two lines", "connection: x-b\r\nX-B: 2\r\nX-C: 3\r\nConnection: close, X-C\r\nX-D: 4\r\n", "", "X-D: 4\r\n", true},
		{"listed in a folded field", "Connection: x-a,\r\n x-b\r\nX-A: 1\r\nX-B: 2\r\nX-C: 3\r\n", "", "X-C: 3\r\n", false},
		{"known fields are not removed", "Connection: host, x-caller, x-request-id, content-length\r\nHost: h\r\nX-Caller: c\r\nX-Request-Id: 1\r\nContent-Length: 0\r\n", "Host: h\r\nX-Caller: c\r\nX-Request-Id: 1\r\nContent-Length: 0\r\n", "", false},
		{"hop", "TE: trailers\r\nKeep-Alive: 1\r\nUpgrade: x\r\nTrailer: y\r\nProxy-Authorization: z\r\nX-A: 1\r\n", "", "X-A: 1\r\n", false},
		{"repeats", strings.Repeat("X-Caller: c\r\n", 4) + strings.Repeat("X-Request-Id: 1\r\n", 4), strings.Repeat("X-Caller: c\r\n", 2) + strings.Repeat("X-Request-Id: 1\r\n", 2), strings.Repeat("X-Request-Id: 1\r\n", 2), false},
		{"messages", strings.Repeat("Content-Length: 1\r\n", 4), strings.Repeat("Content-Length: 1\r\n", 4), "", false},
		{"blank in a name", "X A: 1\r\n", "", "X A: 1\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, before := range []string{"", "\r\n\n"} {
				text := before + start + c.fields + "\r\n"
				head, size, err := separate(text + "rest")
				if err != nil {
					t.Fatal(err)
				}
				if size != len(text) {
					t.Errorf("the head has %d bytes, want %d", size, len(text))
				}
				if got, want := string(head.Known), start+c.known+"\r\n"; got != want {
					t.Errorf("known %q, want %q", got, want)
				}
				if string(head.Fields) != c.others {
					t.Errorf("fields %q, want %q", head.Fields, c.others)
				}
				if head.Close != c.closes {
					t.Errorf("close %v, want %v", head.Close, c.closes)
				}
			}
		})
	}
}

// Guards against lines that other readers understand differently.
func TestInvalidHeads(t *testing.T) {
	for _, fields := range []string{
		"X-A\r\n", ": 1\r\n", "X-A : 1\r\n", " X-A: 1\r\n", "X-A: 1\x00\r\n", "X-A: 1\r2\r\n", "X-\x01: 1\r\n", "X-A: 1\r\n 2\x7f\r\n", "X-A: 1\n\nX-B: 2\r\n",
	} {
		if head, _, err := separate("GET / HTTP/1.1\r\n" + fields + "\r\n"); err == nil {
			t.Errorf("%q was taken for fields: %q and %q", fields, head.Known, head.Fields)
		}
	}
}

// Guards against a head that takes more memory than is counted for it.
func TestCost(t *testing.T) {
	target := attacker.Target{Path: "/", Fields: "X-Request-Id: 1\r\n", HeadBytes: 16384, Names: []string{"X-Caller", "X-Request-Id", "Expect", "Content-Type", "Content-Length"}}
	for _, shape := range target.Shapes() {
		t.Run(shape.Name, func(t *testing.T) {
			var end separator.End
			size, err := end.Find([]byte(shape.Text))
			if err != nil || size == 0 {
				return
			}
			data := []byte(shape.Text)[:size]
			const runs = 20
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for range runs {
				_, _ = names.Separate(data) // Invalid heads take memory as well.
			}
			runtime.ReadMemStats(&after)
			if taken, most := (after.TotalAlloc-before.TotalAlloc)/runs, uint64(separator.CostPerByte*size+1024); taken > most {
				t.Errorf("%d bytes for a head of %d, want %d at most", taken, size, most)
			}
		})
	}
}

// Guards against heads that are read otherwise than by fasthttp, which read them before:
// other fields, another end, or heads that one of the two refuses.
func TestSeparateLikeFasthttp(t *testing.T) {
	parts := []string{
		"Host: h\r\n", "host: h\n", "X-A: 1\r\n", "x-a:\r\n", "a:\n", "a b: c\r\n", "a : c\r\n", " folded\r\n", "\t\r\n", "X-Request-Id: 1\r\n", "Authorization: k\r\n",
		"X-Caller: c\r\n", "Content-Length: 3\r\n", "content-length: 3 \n", "Transfer-Encoding: chunked\r\n", "Cookie: a=b; c\r\n", "User-Agent: u\r\n", "Content-Type: t\r\n", "nocolon\r\n", "X-\x00: 1\r\n", "X-A: \x01\r\n", "X-A: \xff\r\n",
	}
	tester.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom([]string{"", "\r\n"}).Draw(t, "before") + "POST /p HTTP/1.1\r\nHost: h\r\n"
		for _, part := range rapid.SliceOfN(rapid.SampledFrom(parts), 0, 6).Draw(t, "fields") {
			text += part
		}
		text += "X-Last: z\r\n\r\nrest"
		var want fasthttp.RequestHeader
		reader := bufio.NewReader(strings.NewReader(text))
		wantErr := want.Read(reader)
		head, size, err := separate(text)
		var got fasthttp.RequestHeader
		if err == nil {
			err = got.Read(bufio.NewReader(bytes.NewReader(head.Known)))
		}
		if (err == nil) != (wantErr == nil) {
			t.Fatalf("%q: error %v, fasthttp %v", text, err, wantErr)
		}
		if err != nil {
			return
		}
		if rest := len("rest"); size != len(text)-rest || reader.Buffered() != rest {
			t.Fatalf("%q: the head ends at %d, fasthttp leaves %d", text, size, reader.Buffered())
		}
		if err = got.Read(bufio.NewReader(strings.NewReader(string(head.Known[:len(head.Known)-2]) + string(head.Fields) + "\r\n"))); err != nil {
			t.Fatalf("%q: the parts together are invalid: %v", text, err)
		}
		if x, y := describe(&got), describe(&want); x != y {
			t.Fatalf("%q: %s, fasthttp %s", text, x, y)
		}
	})
}

// describe returns the fields of a head by name, with the values in their order. Repeats of
// removed names count up to two.
func describe(header *fasthttp.RequestHeader) string {
	values := map[string][]string{}
	for name, value := range header.All() {
		if key := string(name); key != "X-Caller" && key != "Authorization" || len(values[key]) < 2 {
			values[key] = append(values[key], strings.TrimSpace(string(value)))
		}
	}
	return fmt.Sprint(string(header.Method()), string(header.RequestURI()), header.ContentLength(), values)
}
