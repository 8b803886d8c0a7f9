package gossiper

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
)

// Guards against a datagram that ends the daemon, or makes it keep a member that cannot be
// one.
func TestOddReports(t *testing.T) {
	const good = `{"member":{"node":"x","incarnation":5,"revision":1,"service":"s","slots":4,"accepting":true,"peer":"127.0.0.1:1","report":"127.0.0.1:2"},"position":{"version":1,"offset":0}}`
	change := func(old, changed string) string { return strings.Replace(good, old, changed, 1) }
	nested := strings.Repeat(`{"a":`, 200) + "1" + strings.Repeat("}", 200)
	cases := []struct{ name, text string }{
		{"nothing", ""},
		{"null", "null"},
		{"bytes", "\x00\xff"},
		{"nested lists", strings.Repeat("[", maxReportBytes)},
		{"a nested field", change(`"slots":4`, `"slots":`+nested)},
		{"a large number", change(`"slots":4`, `"slots":1`+strings.Repeat("0", 400))},
		{"a port too large", change(`127.0.0.1:2`, `127.0.0.1:70000`)},
		{"no port", change(`127.0.0.1:1`, `127.0.0.1`)},
		{"no node", change(`"node":"x"`, `"node":""`)},
		{"a long node", change(`"node":"x"`, `"node":"`+strings.Repeat("x", 300)+`"`)},
		{"no member", `{"position":{"version":1}}`},
		{"an odd entry", change(`"position"`, `"entries":[{"fingerprint":"00"}],"position"`)},
		{"another type", change(`"revision":1`, `"revision":"1"`)},
		{"cut short", good[:100]},
	}
	d := newDaemon(t, "a", 1)
	from := netip.MustParseAddrPort("127.0.0.1:9")
	for _, c := range cases {
		if err := d.receive(append([]byte{kindReport}, c.text...), from); err == nil {
			t.Errorf("%s: accepted", c.name)
		}
	}
	for kind := range 256 {
		for _, rest := range []string{"", "\xff", strings.Repeat("\xff", 20), strings.Repeat("\x80", 64), nested, fmt.Sprint(kind)} {
			_ = d.receive(append([]byte{byte(kind)}, rest...), from) // Whether it is an error depends on the kind.
		}
	}
	if members := d.Members(); len(members) != 0 {
		t.Errorf("members %+v", members)
	}
	if err := d.receive(append([]byte{kindReport}, good...), from); err != nil || len(d.Members()) != 1 {
		t.Errorf("a good report: error %v, members %+v", err, d.Members())
	}
}
