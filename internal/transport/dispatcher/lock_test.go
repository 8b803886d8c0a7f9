package dispatcher

import (
	"testing"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// lockedMembers asks the ingress which services it uses while it is asked for members,
// as another goroutine of the gossiper may do while it holds the gossiper's lock.
type lockedMembers struct {
	ingress *Ingress
	t       *testing.T
}

func (m *lockedMembers) probe() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.ingress.Uses(registrar.KeyOf("orders"))
	}()
	select {
	case <-done:
	case <-time.After(time.Second):
		m.t.Error("members are asked while the lock of the ingress is held")
	}
}

func (m *lockedMembers) Version() uint64 { m.probe(); return 1 }

func (m *lockedMembers) Instances(identifier.ServiceName) []registrar.Member { m.probe(); return nil }

func (m *lockedMembers) ActiveCount() int { m.probe(); return 1 }

// Guards against a daemon that answers nothing any more: the first use of a service and
// a status of an unknown member each hold one lock and wait for the other's.
func TestFirstUseAsksMembersUnlocked(t *testing.T) {
	members := &lockedMembers{t: t}
	i := NewIngress(IngressConfig{
		Clock: timer.NewBoot(), Configuration: router.NewHolder(), Members: members,
		Admission: newAdmission(new([]identifier.Incarnation)),
	})
	members.ingress = i
	i.fleet(i.config.Clock.Now(), "orders")
	if !i.Uses(registrar.KeyOf("orders")) {
		t.Error("a service that was used does not count as used")
	}
}
