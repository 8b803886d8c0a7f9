package gossiper

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// Guards against a pulse that another daemon reads differently.
func TestPulseRoundTrip(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		count := func(name string) int32 { return rapid.Int32Range(0, maxCount).Draw(t, name) }
		p := pulse{
			StatusUpdate: registrar.StatusUpdate{
				Incarnation:      identifier.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
				Revision:         rapid.Uint64().Draw(t, "revision"),
				Accepting:        rapid.Bool().Draw(t, "accepting"),
				StoreUnreachable: rapid.Bool().Draw(t, "cut"),
				Load: registrar.Load{
					Running: count("running"), Queued: count("queued"), Limit: count("limit"),
					SlowdownPercent: count("slowdown"), Cold: rapid.Bool().Draw(t, "cold"),
				},
			},
			Position: Position{
				Version: identifier.Version(rapid.Uint64().Draw(t, "version")),
				Offset:  identifier.Offset(rapid.Uint64().Draw(t, "offset")),
			},
		}
		parsed, err := decodePulse(p.encode()[1:])
		if err != nil || parsed != p {
			t.Fatalf("%v parsed as %v, %v", p, parsed, err)
		}
	})
}

// Guards against a datagram that breaks the daemon or gives a negative load.
func FuzzDecodePulse(f *testing.F) {
	f.Add(pulse{}.encode()[1:])
	f.Add([]byte{0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := decodePulse(data)
		if err == nil && (p.Load.Running < 0 || p.Load.Queued < 0 || p.Load.Limit < 0 || p.Load.SlowdownPercent < 0) {
			t.Fatalf("load %v", p.Load)
		}
	})
}
