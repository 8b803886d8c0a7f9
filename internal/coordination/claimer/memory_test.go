package claimer_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
)

// limitedMemory counts reserved bytes.
type limitedMemory struct {
	mu          sync.Mutex
	used, limit int64
}

func (m *limitedMemory) Grow(bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+bytes > m.limit {
		return false
	}
	m.used += bytes
	return true
}

func (m *limitedMemory) Shrink(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= bytes
}

// setRoom limits the memory to a number of bytes more than are reserved.
func (m *limitedMemory) setRoom(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = m.used + bytes
}

func (m *limitedMemory) reserved() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// Guards against memory of claims, reports and handovers that is never freed, so that no key
// is granted any more.
func TestMemoryIsFreed(t *testing.T) {
	simulate(t, 4, func(c *cluster) {
		owner, _, others := c.roles()
		const keys = 20
		for n := range keys {
			request := newRequest(fmt.Sprint("k", n), fmt.Sprint("t", n))
			others[0].expect(request, deduplicator.Granted)
			others[0].Settle(request, deduplicator.OutcomeComplete, bytes.Repeat([]byte("a"), 1000))
		}
		time.Sleep(time.Second)
		c.Expect(others[0].memory.reserved()).To(BeZero(), "the reports have ended")
		c.Expect(owner.memory.reserved()).To(BeNumerically(">", keys*1000))

		c.Expect(owner.HandOver(context.Background())).To(Succeed())
		time.Sleep(10 * time.Second)
		c.Expect(owner.memory.reserved()).To(BeZero(), "another daemon has the claims")
		next, _, _ := c.roles()
		c.Expect(next).NotTo(Equal(owner))
		c.Expect(next.memory.reserved()).To(BeNumerically(">", keys*1000))

		time.Sleep(window.Duration() + time.Minute)
		request := newRequest("last", "t")
		others[0].expect(request, deduplicator.Granted)
		others[0].Settle(request, deduplicator.OutcomeNotRun, nil)
		time.Sleep(time.Second)
		c.Expect(next.memory.reserved()).To(BeNumerically("<", 200), "only the released token is kept")
	})
}

// Guards against claims beyond the memory, and against a second run of a key whose claim was
// dropped for lack of memory.
func TestClaimsWithoutMemory(t *testing.T) {
	simulate(t, 4, func(c *cluster) {
		owner, successors, others := c.roles()
		const keys = 3
		claim := deduplicator.Claim{Key: newRequest("k0", "t0").Key, Token: "t0"}
		owner.memory.setRoom(keys*claim.Bytes() + 10)
		for n := range keys {
			others[0].expect(newRequest(fmt.Sprint("k", n), fmt.Sprint("t", n)), deduplicator.Granted)
		}
		others[0].expect(newRequest("k9", "t9"), deduplicator.Full)
		others[0].expect(newRequest("k0", "t8"), deduplicator.InProgress)
		others[0].Settle(newRequest("k0", "t0"), deduplicator.OutcomeComplete, []byte("an answer without room"))
		time.Sleep(time.Second)
		c.Expect(others[0].expect(newRequest("k0", "t7"), deduplicator.Done)).To(BeEmpty())

		for _, successor := range successors {
			successor.memory.setRoom(claim.Bytes())
		}
		c.Expect(owner.HandOver(context.Background())).NotTo(Succeed())
		time.Sleep(time.Minute)
		for _, successor := range successors {
			c.Expect(successor.memory.reserved()).To(BeZero(), "the handover was dropped")
			successor.memory.setRoom(1 << 20)
		}
		others[0].expect(newRequest("k1", "t6"), deduplicator.OwnerLost)
	})
}
