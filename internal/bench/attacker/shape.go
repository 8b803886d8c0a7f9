package attacker

import "strings"

// Shape is what one connection of a crowd sends.
type Shape struct {
	Name string
	Text string
	// Whole says that the text is one request within the limits, which has to be answered
	// if nobody else sends any.
	Whole bool
}

// Target describes the requests that a listener accepts.
type Target struct {
	// Path is the path of a request that may be repeated.
	Path string
	// Fields are the fields that requests need, each with its line break.
	Fields string
	// HeadBytes is the largest head.
	HeadBytes int
	// Names are the names of fields that the server reads or removes.
	Names []string
}

func (t Target) start(method, query string) string {
	return method + " " + t.Path + query + " HTTP/1.1\r\nHost: shop.example\r\n" + t.Fields
}

// head returns a request whose head is filled with lines.
func (t Target) head(filler string) string { return Head(t.start("GET", ""), filler, t.HeadBytes) }

// field returns a request with one field whose value is filled.
func (t Target) field(name, filler string) string {
	return filledHead(t.start("GET", "")+name+": ", filler, t.HeadBytes)
}

// query returns a request whose target is filled.
func (t Target) query(start, filler string) string {
	left := max(0, t.HeadBytes-len(t.start("GET", start))-len(headEnd))
	return t.start("GET", start+strings.Repeat(filler, left/len(filler))) + headEnd
}

// Shapes returns heads and bodies that take much more memory or work than their bytes in a
// server that keeps each of their parts, up to the largest head.
func (t Target) Shapes() []Shape {
	shapes := []Shape{
		{Name: "lines of 3 bytes", Text: t.head("a:\n"), Whole: true},
		{Name: "lines of 4 bytes", Text: t.head("a:\r\n"), Whole: true},
		{Name: "lines of 4 bytes with names of 2", Text: t.head("ab:\n"), Whole: true},
		{Name: "names of many kinds", Text: t.names(), Whole: true},
		{Name: "names with blanks", Text: t.head("a b:\r\n")},
		{Name: "folded lines", Text: t.head("a:b\r\n \r\n")},
		{Name: "one folded field", Text: Head(t.start("GET", "")+"a:b\r\n", " c\r\n", t.HeadBytes)},
		{Name: "lines without a colon", Text: t.head("a\r\n")},
		{Name: "connection tokens", Text: t.field("Connection", "a,"), Whole: true},
		{Name: "connection lines", Text: t.head("Connection:a\r\n"), Whole: true},
		{Name: "connection lines and fields", Text: t.listed(), Whole: true},
		{Name: "hop lines", Text: t.head("TE:\r\n"), Whole: true},
		{Name: "cookies", Text: t.field("Cookie", "a;"), Whole: true},
		{Name: "cookie lines", Text: t.head("Cookie:a\r\n"), Whole: true},
		{Name: "trailer tokens", Text: t.field("Trailer", "a,")},
		{Name: "trailer lines", Text: t.head("Trailer:a\r\n")},
		{Name: "query fields", Text: t.query("?", "a&"), Whole: true},
		{Name: "path segments", Text: t.query("/", "/"), Whole: true},
		{Name: "escaped path", Text: t.query("/", "%2e/"), Whole: true},
		{Name: "long value", Text: t.field("X-Long", "a"), Whole: true},
		{Name: "long request line that is not HTTP", Text: strings.Repeat("a", t.HeadBytes)},
		{Name: "empty lines", Text: strings.Repeat("\r\n", t.HeadBytes/2)},
		{Name: "half a head", Text: HalfHead(t.start("GET", ""), "a:\r\n", t.HeadBytes-8)},
		{Name: "chunks of a byte", Text: t.chunks("1\r\na\r\n", 0, 64<<10)},
		{Name: "chunk extensions", Text: t.chunks("1;a=b;c=d\r\na\r\n", 0, 64<<10)},
		{Name: "trailer fields", Text: t.chunks("a:\r\n", 32<<10, 32<<10)},
		{Name: "half a body", Text: t.start("POST", "") + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("a", 900_000)},
	}
	for _, name := range t.Names {
		shapes = append(shapes, Shape{Name: "lines of " + name, Text: t.head(name + ":\r\n")})
	}
	return shapes
}

// names returns a head whose fields all have different names.
func (t Target) names() string {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	text := strings.Builder{}
	text.WriteString(t.start("GET", ""))
	for n := 0; text.Len()+5+len(lastField)+len(headEnd) <= t.HeadBytes; n++ {
		text.WriteString("x" + string(digits[n/len(digits)%len(digits)]) + string(digits[n%len(digits)]) + ":\n")
	}
	return text.String() + lastField + headEnd
}

// listed returns a head with fields and as many lines that list them as connection options.
func (t Target) listed() string {
	half := HalfHead(t.start("GET", ""), "ab:\r\n", t.HeadBytes/2)
	return filledHead(half+"Connection: ab", ",c", t.HeadBytes)
}

// chunks returns a chunked body of repeated chunks, and of trailer fields if trailer is not
// zero.
func (t Target) chunks(filler string, trailer, size int) string {
	head := t.start("POST", "") + "Transfer-Encoding: chunked\r\n\r\n"
	if trailer > 0 {
		return head + "1\r\na\r\n0\r\n" + strings.Repeat(filler, trailer/len(filler)) + headEnd
	}
	return head + strings.Repeat(filler, size/len(filler)) + "0\r\n" + headEnd
}
