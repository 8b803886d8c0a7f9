package separator

// kind says what is done with the fields of a name.
type kind uint8

const (
	// kindOther is passed on.
	kindOther kind = iota
	// kindMessage tells what the message is. All such fields are known, since their reader
	// has to refuse contradictions.
	kindMessage
	// kindRead is read and passed on, kindOwn read and then removed or set.
	kindRead
	kindOwn
	// kindHop concerns only one connection, as kindConnection, whose values are options.
	kindHop
	kindConnection
)

// maxNames is the largest number of names, maxNameBytes the longest one.
const (
	maxNames     = 64
	maxNameBytes = 64
)

var (
	messageNames = []string{"Host", "Content-Length", "Transfer-Encoding", "Content-Type", "Content-Encoding"}
	hopNames     = []string{
		"Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
	}
)

// Names are the names of the fields that a process reads or sets. They are safe for
// concurrent use.
type Names struct {
	// numbers holds the number of each name in lower case, kinds the kind by number.
	numbers map[string]int
	kinds   []kind
	longest int
}

// NewNames returns the names of the fields that a process reads and passes on, and of
// those that it removes or sets before it passes a request on. It panics if there are more
// than 64 or if one has more than 64 bytes. Fields of the message and the connection are
// always known.
func NewNames(read, own []string) *Names {
	n := &Names{numbers: map[string]int{}}
	for _, group := range []struct {
		kind  kind
		names []string
	}{
		{kindMessage, messageNames},
		{kindHop, hopNames},
		{kindConnection, []string{connectionName}},
		{kindOwn, append([]string{"Expect"}, own...)},
		{kindRead, read},
	} {
		for _, name := range group.names {
			n.add(name, group.kind)
		}
	}
	return n
}

func (n *Names) add(name string, k kind) {
	lower := make([]byte, len(name))
	for i := range name {
		lower[i] = toLower(name[i])
	}
	if _, found := n.numbers[string(lower)]; found {
		return
	}
	if len(n.kinds) == maxNames || len(name) > maxNameBytes {
		panic("separator: too many names, or a name that is too long: " + name)
	}
	n.numbers[string(lower)] = len(n.kinds)
	n.kinds = append(n.kinds, k)
	n.longest = max(n.longest, len(name))
}

// find returns the number and the kind of a name. Other names have no number.
func (n *Names) find(name []byte) (int, kind) {
	if len(name) > n.longest {
		return 0, kindOther
	}
	var buffer [maxNameBytes]byte
	lower := buffer[:len(name)]
	for i, b := range name {
		lower[i] = toLower(b)
	}
	number, found := n.numbers[string(lower)]
	if !found {
		return 0, kindOther
	}
	return number, n.kinds[number]
}

// repeats counts the fields of each name.
type repeats [maxNames]uint8

// add counts a field and returns how many there are, up to a number above maxRepeats.
func (r *repeats) add(number int) int {
	if r[number] <= maxRepeats {
		r[number]++
	}
	return int(r[number])
}

func toLower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}
