package gossiper

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Guards against a status message that decodes to other values than were encoded.
func TestStatusRoundTrip(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		count := func(name string) int32 { return rapid.Int32Range(0, maxCount).Draw(t, name) }
		p := statusMessage{
			StatusUpdate: registrar.StatusUpdate{
				Incarnation:      identifier.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
				Revision:         rapid.Uint64().Draw(t, "revision"),
				Accepting:        rapid.Bool().Draw(t, "accepting"),
				Generation:       rapid.Uint64().Draw(t, "generation"),
				Service:          registrar.ServiceKey(rapid.Uint32().Draw(t, "service")),
				Fleet:            uint32(count("fleet")),
				StoreUnreachable: rapid.Bool().Draw(t, "cut"),
				Load: registrar.Load{
					Running: count("running"), Queued: count("queued"), Limit: count("limit"),
					SlowdownPercent: count("slowdown"), StartDelayMs: count("start delay"), Cold: rapid.Bool().Draw(t, "cold"),
				},
			},
			Position: Position{
				Version: identifier.Version(rapid.Uint64().Draw(t, "version")),
				Offset:  identifier.Offset(rapid.Uint64().Draw(t, "offset")),
				Era:     identifier.Era(rapid.Uint64().Draw(t, "era")),
				Control: router.Position{
					Era:    identifier.Era(rapid.Uint64().Draw(t, "control era")),
					Offset: identifier.Offset(rapid.Uint64().Draw(t, "control offset")),
				},
			},
			Evidence: evidenceAge(count("evidence")),
		}
		parsed, err := decodeStatus(p.encode()[1:])
		if err != nil || parsed != p {
			t.Fatalf("encoded %v, decoded %v, error %v", p, parsed, err)
		}
	})
}

// Guards against a datagram that makes the decoder panic or return a negative load.
func FuzzDecodePulse(f *testing.F) {
	f.Add(statusMessage{}.encode()[1:])
	f.Add([]byte{0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := decodeStatus(data)
		if err == nil && (p.Load.Running < 0 || p.Load.Queued < 0 || p.Load.Limit < 0 || p.Load.SlowdownPercent < 0 || p.Load.StartDelayMs < 0) {
			t.Fatalf("negative load %v decoded", p.Load)
		}
	})
}

// Guards against status messages of daemons of earlier versions, which lack the last
// fields, that are not understood during an upgrade.
func TestStatusOfEarlierVersion(t *testing.T) {
	sent := statusMessage{StatusUpdate: registrar.StatusUpdate{Incarnation: 7, Revision: 3, Accepting: true}}
	data := sent.encode()
	earlier := data[1 : len(data)-(optionalFields-omissibleFields)] // Each of those sent is zero, one byte.
	got, err := decodeStatus(earlier)
	if err != nil || got != sent {
		t.Fatalf("decoded as %+v, error %v", got, err)
	}
	if _, err := decodeStatus(earlier[:len(earlier)-1]); err == nil {
		t.Error("a truncated message was decoded")
	}
}

const (
	// omissibleFields is the number of fields that are left out while they are zero,
	// controlFields that of the position of Control among them.
	omissibleFields = statusFields - controlEraField
	controlFields   = evidenceField - controlEraField
)

// Guards against other bytes of the status message where no roll-out has run, and against
// a daemon of an earlier version that does not understand the message of a later one.
func TestStatusWithControl(t *testing.T) {
	message := statusMessage{StatusUpdate: registrar.StatusUpdate{Incarnation: 7, Revision: 3}, Position: Position{Offset: 5, Era: 1}}
	without := message.encode()
	if len(without) != 1+statusFields-omissibleFields { // Each field is one byte.
		t.Errorf("%d bytes without a position of Control", len(without))
	}
	for _, control := range []router.Position{{Era: 1, Offset: 9}, {Offset: 9}, {Era: 1}} {
		message.Position.Control = control
		data := message.encode()
		// Earlier versions read the same fields and ignore the rest.
		if !bytes.Equal(data[:len(without)], without) || len(data) != len(without)+controlFields {
			t.Errorf("%v encoded as %x, without %x", control, data, without)
		}
		if got, err := decodeStatus(data[1:]); err != nil || got != message {
			t.Errorf("%v decoded as %+v, error %v", control, got, err)
		}
	}
	message.Evidence = newEvidenceAge(timer.Second)
	if data := message.encode(); !bytes.Equal(data[:len(without)], without) || len(data) != len(without)+omissibleFields {
		t.Errorf("with evidence encoded as %x, without %x", data, without)
	}
	later := append(message.encode(), 1, 2, 3)
	if got, err := decodeStatus(later[1:]); err != nil || got != message {
		t.Errorf("a message with further fields decoded as %+v, error %v", got, err)
	}
}

// Guards against a position that never spreads, and against one that goes back.
func TestPositionAhead(t *testing.T) {
	own := Position{Version: 5, Offset: 10, Era: 2, Control: router.Position{Era: 2, Offset: 4}}
	change := func(change func(*Position)) Position {
		p := own
		change(&p)
		return p
	}
	cases := []struct {
		name   string
		theirs Position
		ahead  bool
	}{
		{"the same", own, false},
		{"a later Control", change(func(p *Position) { p.Control.Offset = 5 }), true},
		{"a Control of a later era", change(func(p *Position) { p.Control = router.Position{Era: 3} }), true},
		{"a Control of an earlier era", change(func(p *Position) { p.Control = router.Position{Era: 1, Offset: 40} }), false},
		{"no Control", change(func(p *Position) { p.Control = router.Position{} }), false},
		{"a later offset and an earlier Control", change(func(p *Position) { p.Offset, p.Control.Offset = 11, 3 }), true},
		{"a later version", change(func(p *Position) { p.Version = 6 }), true},
	}
	for _, c := range cases {
		if got := c.theirs.ahead(own); got != c.ahead {
			t.Errorf("%s: ahead %v", c.name, got)
		}
	}
}

// Guards against evidence that looks younger to a member than it is, so that a daemon does
// not read although its configuration may be outdated.
func TestEvidenceAge(t *testing.T) {
	for _, age := range []timer.Millis{-5, 0, 1, 19, 20, 399, 1200, timer.Hour} {
		got, known := newEvidenceAge(age).age()
		if !known || got < age || got > max(age, 0)+evidenceUnit {
			t.Errorf("%d ms received as %d ms, known %v", age, got, known)
		}
	}
	if _, known := evidenceAge(0).age(); known {
		t.Error("no evidence was taken for some")
	}
}

// Guards against evidence for another configuration that makes a daemon keep an outdated
// one, and against a member ahead that is not asked.
func TestEvidenceIsForTheOwnPosition(t *testing.T) {
	own := Position{Version: 5, Offset: 10, Era: 2}
	cases := []struct {
		name             string
		theirs           Position
		evidence         evidenceAge
		ahead, confirmed bool
	}{
		{"the same position", own, 3, false, true},
		{"an earlier position", Position{Version: 4, Offset: 9, Era: 2}, 3, false, true},
		{"a later position", Position{Version: 6, Offset: 11, Era: 2}, 3, true, false},
		{"a later era", Position{Version: 5, Offset: 2, Era: 3}, 3, true, false},
		{"an earlier era", Position{Version: 5, Offset: 12, Era: 1}, 3, false, false},
		{"no evidence", own, 0, false, false},
	}
	for _, c := range cases {
		ahead, confirmed := false, false
		g := &Gossiper{config: Config{
			Position: func() Position { return own }, Ahead: func(registrar.Member) { ahead = true },
			Confirmed: func(timer.Millis) { confirmed = true },
		}}
		g.checkPosition(c.theirs, c.evidence, registrar.Member{})
		if ahead != c.ahead || confirmed != c.confirmed {
			t.Errorf("%s: ahead %v, confirmed %v", c.name, ahead, confirmed)
		}
	}
}

// Guards against a request for counts that decodes to another one, and against an invalid
// one that halts a version.
func TestOutcomesRequest(t *testing.T) {
	for _, r := range []outcomesRequest{{Service: 7, Target: "v2"}, {Service: 1 << 31, Target: "v2", Halt: true}, {Service: 1}} {
		if got, err := decodeOutcomesRequest(r.encode()[1:]); err != nil || got != r {
			t.Errorf("%+v decoded as %+v, error %v", r, got, err)
		}
	}
	for _, data := range [][]byte{{}, {1}, {1, 0xff}, {0xff, 0xff}, {1, 0xff, 0xff, 0xff, 0xff, 0xff, 1}} {
		if got, err := decodeOutcomesRequest(data); err == nil {
			t.Errorf("%x decoded as %+v", data, got)
		}
	}
}
