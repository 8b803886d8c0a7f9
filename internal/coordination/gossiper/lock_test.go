package gossiper

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/spreader"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// Guards against a daemon of a large fleet that answers nothing any more: a status of an
// unknown member asks the owner of the gossiper for the services in use, and the owner
// may at that moment wait for the gossiper.
func TestOwnerIsAskedUnlocked(t *testing.T) {
	var d *daemon
	d = newConfiguredDaemon(t, "a", 1, func(c *Config) {
		c.Uses = func(registrar.ServiceKey) bool {
			done := make(chan struct{})
			go func() {
				defer close(done)
				d.ActiveCount()
			}()
			select {
			case <-done:
			case <-time.After(time.Second):
				t.Error("the owner is asked while the lock of the gossiper is held")
			}
			return true
		}
	})
	for i := range 2 * spreader.SmallFleet {
		d.receiveReport(Report{Member: registrar.Member{
			Node: identifier.InstanceID(fmt.Sprintf("vm-%d", i)), Incarnation: identifier.Incarnation(10 + i), Revision: 1, Service: "s", Report: "127.0.0.1:9",
		}})
	}
	d.receiveStatus(statusMessage{StatusUpdate: registrar.StatusUpdate{Incarnation: 999, Revision: 1, Service: registrar.KeyOf("other")}}, netip.MustParseAddrPort("127.0.0.1:9"))
}
