package claimer_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/claimer"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Guards against a paused owner that resumes and grants a claim from its socket buffer before it notices that its lease
// has expired.
func TestPausedOwnerDoesNotGrant(t *testing.T) {
	simulate(t, 4, func(c *cluster) {
		owner, _, others := c.roles()
		request := c.claimMessage(newRequest("k", "t1"))
		owner.update(func() { owner.paused = true })
		time.Sleep(10 * time.Second)
		c.Expect(c.current().Owner).NotTo(Equal(owner.self))
		owner.expectNotOwner(request)
		others[0].expect(newRequest("k", "t2"), deduplicator.OwnerLost)
	})
}

// Guards against a second run of a key that a lost owner may have granted, and against blocking keys that it cannot have
// seen.
func TestSuccessorTakesOver(t *testing.T) {
	simulate(t, 4, func(c *cluster) {
		owner, _, others := c.roles()
		others[0].expect(newRequest("k", "t1"), deduplicator.Granted)
		owner.update(func() { owner.unreachable, owner.paused = true, true })
		others[0].expect(newRequest("k", "t2"), undecided)
		time.Sleep(40 * time.Second)
		others[0].expect(newRequest("k", "t3"), deduplicator.OwnerLost)
		wall := uint64(c.clock.Wall())
		fresh := fmt.Sprintf("%08x-%04x-7000-8000-000000000001", wall>>16, wall&0xffff)
		others[0].expect(newRequest(fresh, "t4"), deduplicator.Granted)
	})
}

// Guards against two owners: a takeover whose answer was lost may still take effect, whatever the results of later
// appends, so the successor must not promise. If all appends were refused, it must promise.
func TestRefusedTakeover(t *testing.T) {
	refused := appender.Refused.New("too many")
	for promises, failures := range [][]error{{errLost, refused}, {refused}} {
		simulate(t, 2, func(c *cluster) {
			owner, successors, _ := c.roles()
			c.failAppends(failures...)
			owner.update(func() { owner.paused = true })
			time.Sleep(10 * time.Second)
			c.Expect(successors[0].promise(owner)).To(HaveLen(promises))
		})
	}
}

// Guards against two owners: a restored checkpoint that does not change the epoch of a shard must not make a successor
// promise while its takeover is in transit.
func TestRestoreKeepsTakeover(t *testing.T) {
	simulate(t, 3, func(c *cluster) {
		owner, successors, _ := c.roles()
		c.failAppends(errLost)
		owner.update(func() { owner.paused = true })
		time.Sleep(10 * time.Second)
		checkpoint, err := c.fold([]byte("{}")).Checkpoint()
		c.Expect(err).NotTo(HaveOccurred())
		c.Expect(successors[0].Restore(checkpoint)).To(BeTrue())
		c.Expect(successors[0].promise(owner)).To(BeEmpty())
	})
}

// Guards against an owner that accepts a claim or an outcome after it has handed its claims over, since the successor
// would not learn of it.
func TestHandoverWithSettleInTransit(t *testing.T) {
	simulate(t, 4, func(c *cluster) {
		owner, successors, others := c.roles()
		others[0].expect(newRequest("k", "t1"), deduplicator.Granted)
		c.Expect(owner.HandOver(context.Background())).To(Succeed())
		owner.expectNotOwner(c.claimMessage(newRequest("late", "t4")))
		others[0].Settle(newRequest("k", "t1"), deduplicator.OutcomeComplete, []byte("ordered"))
		time.Sleep(2 * time.Second)
		c.Expect(c.current().Owner).To(Equal(successors[0].self))
		c.Expect(others[0].expect(newRequest("k", "t2"), deduplicator.Done)).To(Equal("ordered"))
		others[0].expect(newRequest("new", "t3"), deduplicator.Granted)
	})
}

// Guards against claims that are lost because the first successor does not answer, or that exceed one message.
func TestHandoverOfLargeClaimsToSecondSuccessor(t *testing.T) {
	simulate(t, 4, func(c *cluster) {
		owner, successors, others := c.roles()
		answer := bytes.Repeat([]byte("x"), deduplicator.MaxAnswerBytes)
		for i := range 400 {
			request := newRequest(fmt.Sprint("k", i), "t1")
			owner.expect(request, deduplicator.Granted)
			owner.Settle(request, deduplicator.OutcomeComplete, answer)
		}
		successors[0].update(func() { successors[0].unreachable, successors[0].paused = true, true })
		c.Expect(owner.HandOver(context.Background())).To(Succeed())
		c.Expect(successors[1].handoverMessages).To(Equal(3))
		// The new owner first has to replace a successor that does not answer.
		time.Sleep(10 * time.Second)
		for i := range 400 {
			c.Expect(others[0].expect(newRequest(fmt.Sprint("k", i), "t2"), deduplicator.Done)).To(HaveLen(len(answer)))
		}
	})
}

// Guards against stale claims: after a lost answer both successors receive the same claims, and the one that does not
// own the next epoch must drop them, since they would hide claims of a later handover.
func TestHandoverToTwoSuccessors(t *testing.T) {
	simulate(t, 3, func(c *cluster) {
		first, successors, _ := c.roles()
		first.expect(newRequest("k", "t1"), deduplicator.Granted)
		successors[0].update(func() { successors[0].loseHandoverAnswers = true })
		c.Expect(first.HandOver(context.Background())).To(Succeed())
		time.Sleep(10 * time.Second)
		second, next, _ := c.roles()
		c.Expect(second.self).NotTo(Equal(first.self))
		first.Settle(newRequest("k", "t1"), deduplicator.OutcomeNotRun, nil)
		time.Sleep(time.Second)
		second.expect(newRequest("k", "t2"), deduplicator.Granted)
		next[0].update(func() { next[0].loseHandoverAnswers = false })
		c.Expect(second.HandOver(context.Background())).To(Succeed())
		second.Settle(newRequest("k", "t2"), deduplicator.OutcomeComplete, []byte("ordered"))
		time.Sleep(10 * time.Second)
		third, _, _ := c.roles()
		c.Expect(third.self).To(Equal(next[0].self))
		c.Expect(third.expect(newRequest("k", "t3"), deduplicator.Done)).To(Equal("ordered"))
	})
}

// Guards against a successor that takes over after receiving only some of the claims.
func TestPartialHandoverIsNotUsed(t *testing.T) {
	simulate(t, 4, func(c *cluster) {
		owner, successors, _ := c.roles()
		response, err := successors[0].ServeHandover(context.Background(), &peerv1.HandoverRequest{
			Epoch: uint64(c.current().Epoch), Claims: []*peerv1.HandoverClaim{handedClaim()},
		})
		c.Expect(err).NotTo(HaveOccurred())
		c.Expect(response.GetAccepted()).To(BeTrue())
		time.Sleep(time.Second)
		c.Expect(c.current().Owner).To(Equal(owner.self))
		owner.update(func() { owner.unreachable, owner.paused = true, true })
		time.Sleep(20 * time.Second)
		successors[0].expect(newRequest("other", "t2"), deduplicator.OwnerLost)
	})
}

func handedClaim() *peerv1.HandoverClaim {
	return &peerv1.HandoverClaim{
		Service: "materials", Key: "k", Fingerprint: make([]byte, 16), Token: "t1", ExpiresInMs: int64(window),
	}
}

// Guards against a key that is blocked, or run twice, because the answer to its claim was lost.
func TestClaimAnswerLost(t *testing.T) {
	simulate(t, 4, func(c *cluster) {
		owner, _, others := c.roles()
		owner.update(func() { owner.lostClaimAnswers = 1 })
		others[0].expect(newRequest("once", "t1"), deduplicator.Granted)
		owner.expect(newRequest("once", "t2"), deduplicator.InProgress)

		owner.update(func() { owner.lostClaimAnswers = 1000 })
		others[0].expect(newRequest("always", "t3"), undecided)
		time.Sleep(time.Second)
		owner.expect(newRequest("always", "t4"), deduplicator.Granted)
	})
}

// Guards against a delayed copy of a claim message that blocks a key after the arrival was refused.
func TestLateClaimAfterRelease(t *testing.T) {
	simulate(t, 4, func(c *cluster) {
		owner, _, others := c.roles()
		late := c.claimMessage(newRequest("k", "t1"))
		owner.update(func() { owner.lostClaimAnswers = 1000 })
		others[0].expect(newRequest("k", "t1"), undecided)
		time.Sleep(time.Minute)
		owner.expectNotOwner(late)
		owner.expect(newRequest("k", "t2"), deduplicator.Granted)
	})
}

// Guards against a caller that waits past its deadline for an owner that does not answer.
func TestUnreachableOwner(t *testing.T) {
	for _, silent := range []bool{false, true} {
		simulate(t, 4, func(c *cluster) {
			owner, _, others := c.roles()
			owner.update(func() { owner.paused, owner.unreachable = silent, !silent })
			deadline := c.clock.Now() + 500
			_, _, ok := others[0].Claim(deadline, newRequest("k", "t1"))
			c.Expect(ok).To(BeFalse())
			c.Expect(c.clock.Now()).To(BeNumerically("<", deadline))
		})
	}
}

// Guards against malformed messages that reach the state machines.
func TestInvalidMessages(t *testing.T) {
	c := claimer.New(claimer.Config{Clock: timer.NewManual(1, 1), ShardCount: 1})
	defer c.Close()
	ctx := context.Background()
	claim := func(change func(*peerv1.ClaimRequest)) error {
		request := &peerv1.ClaimRequest{Service: "s", Key: "k", Token: "t", Fingerprint: make([]byte, 16), Epoch: 1}
		change(request)
		_, err := c.ServeClaim(ctx, request)
		return err
	}
	settle := func(outcome peerv1.SettleRequest_Outcome, size int) error {
		_, err := c.ServeSettle(ctx, &peerv1.SettleRequest{
			Service: "s", Key: "k", Token: "t", Epoch: 1, Outcome: outcome, Answer: make([]byte, size),
		})
		return err
	}
	handover := func(change func(*peerv1.HandoverRequest, *peerv1.HandoverClaim)) error {
		request := &peerv1.HandoverRequest{Epoch: 1, Claims: []*peerv1.HandoverClaim{handedClaim()}}
		change(request, request.Claims[0])
		_, err := c.ServeHandover(ctx, request)
		return err
	}
	promise := func(owner string, incarnation uint64, shards ...*peerv1.ShardEpoch) error {
		_, err := c.ServePromise(ctx, &peerv1.PromiseRequest{Owner: owner, Incarnation: incarnation, Shards: shards})
		return err
	}
	long := string(bytes.Repeat([]byte("x"), 300))
	cases := map[string]error{
		"short fingerprint":    claim(func(r *peerv1.ClaimRequest) { r.Fingerprint = r.Fingerprint[1:] }),
		"long key":             claim(func(r *peerv1.ClaimRequest) { r.Key = long }),
		"no token":             claim(func(r *peerv1.ClaimRequest) { r.Token = "" }),
		"long service":         claim(func(r *peerv1.ClaimRequest) { r.Service = long }),
		"shard out of range":   claim(func(r *peerv1.ClaimRequest) { r.Shard = 1 }),
		"no epoch":             claim(func(r *peerv1.ClaimRequest) { r.Epoch = 0 }),
		"no outcome":           settle(peerv1.SettleRequest_OUTCOME_UNSPECIFIED, 0),
		"large answer":         settle(peerv1.SettleRequest_OUTCOME_COMPLETE, 17<<10),
		"answer not run":       settle(peerv1.SettleRequest_OUTCOME_NOT_RUN, 1),
		"handover to shard 9":  handover(func(r *peerv1.HandoverRequest, _ *peerv1.HandoverClaim) { r.Shard = 9 }),
		"negative age":         handover(func(r *peerv1.HandoverRequest, _ *peerv1.HandoverClaim) { r.LostAgeMs = -1 }),
		"expired claim":        handover(func(_ *peerv1.HandoverRequest, h *peerv1.HandoverClaim) { h.ExpiresInMs = 0 }),
		"unlimited claim":      handover(func(_ *peerv1.HandoverRequest, h *peerv1.HandoverClaim) { h.ExpiresInMs = 1 << 60 }),
		"no fingerprint":       handover(func(_ *peerv1.HandoverRequest, h *peerv1.HandoverClaim) { h.Fingerprint = nil }),
		"no owner":             promise("", 1),
		"no incarnation":       promise("a", 0),
		"promise for shard 9":  promise("a", 1, &peerv1.ShardEpoch{Shard: 9, Epoch: 1}),
		"promise for no epoch": promise("a", 1, &peerv1.ShardEpoch{}),
		"too many shards":      promise("a", 1, &peerv1.ShardEpoch{Epoch: 1}, &peerv1.ShardEpoch{Epoch: 1}),
	}
	for name, err := range cases {
		NewWithT(t).Expect(connect.CodeOf(err)).To(Equal(connect.CodeInvalidArgument), "%s: %v", name, err)
	}
}

// Guards against a checkpoint that is folded as a record, and against records or damaged payloads that are restored as
// a checkpoint.
func TestCheckpoint(t *testing.T) {
	simulate(t, 3, func(c *cluster) {
		checkpoint, err := c.daemons[0].Checkpoint()
		c.Expect(err).NotTo(HaveOccurred())
		before := c.current()
		folded, _ := c.daemons[0].Folded()
		_, err = c.Append(context.Background(), appender.Ownership, checkpoint)
		c.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		c.Expect(c.current()).To(Equal(before))
		after, _ := c.daemons[1].Folded()
		c.Expect(after).To(Equal(folded + 1))

		restarted := claimer.New(claimer.Config{Clock: c.clock, ShardCount: 1})
		defer restarted.Close()
		c.Expect(restarted.Restore(c.log[0])).To(BeFalse())
		c.Expect(restarted.Restore([]byte(`{"other":1}`))).To(BeFalse())
		_, err = restarted.Restore([]byte(`{"next_offset":9,"shards":[{"current":{"epoch":3}}]}`))
		c.Expect(err).To(HaveOccurred())
		c.Expect(restarted.Restore(checkpoint)).To(BeTrue())
		restored, _ := restarted.Folded()
		c.Expect(restored).To(Equal(folded))
		again, err := restarted.Checkpoint()
		c.Expect(err).NotTo(HaveOccurred())
		c.Expect(again).To(MatchJSON(checkpoint))
	})
}
