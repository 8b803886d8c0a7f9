package gossiper

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
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
			},
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
	earlier := data[1 : len(data)-optionalFields] // Each of them is zero, one byte.
	got, err := decodeStatus(earlier)
	if err != nil || got != sent {
		t.Fatalf("decoded as %+v, error %v", got, err)
	}
	if _, err := decodeStatus(earlier[:len(earlier)-1]); err == nil {
		t.Error("a truncated message was decoded")
	}
}
