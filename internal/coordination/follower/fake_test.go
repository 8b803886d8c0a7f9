package follower_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/follower"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

var errDown = errors.New("not reachable")

// hashChain is a state machine whose hash depends on every record and their order.
// It does not check offsets, so that only the follower ensures the order.
type hashChain struct {
	next identifier.Offset
	sum  uint64
}

func (c *hashChain) Apply(_ identifier.Offset, payload []byte) error {
	c.next++
	if !bytes.HasPrefix(payload, []byte("checkpoint")) {
		c.sum = addToHash(c.sum, payload)
	}
	return nil
}

func addToHash(sum uint64, payload []byte) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, sum)
	h.Write(payload)
	return h.Sum64()
}

func (c *hashChain) Restore(payload []byte) (bool, error) {
	var restored hashChain
	n, _ := fmt.Sscanf(string(payload), "checkpoint %d %d", &restored.next, &restored.sum)
	if n != 2 || restored.next <= c.next {
		return false, nil
	}
	*c = restored
	return true, nil
}

func (c *hashChain) Folded() (identifier.Offset, bool) { return c.next - 1, c.next > 0 }

func (c *hashChain) checkpoint() []byte { return fmt.Appendf(nil, "checkpoint %d %d", c.next, c.sum) }

// cluster is a log and the daemons that follow it, all in one goroutine. With
// appendDuringRead a read takes 20 ms and a record is appended after the answer
// was created.
type cluster struct {
	clock            *timer.Manual
	records          [][]byte
	times            []timer.Millis
	sums             []uint64
	first            identifier.Offset
	down             bool
	appendDuringRead bool
	corruption       int
	nodes            []*node
	appended         int
}

type node struct {
	cluster          *cluster
	id               int
	state            *hashChain
	follower         *follower.Follower
	logUnreachable   bool
	peersUnreachable bool
	wakeAt           timer.Millis
	reader           bool
	logReads         int
}

func newCluster(count int) *cluster {
	w := &cluster{clock: timer.NewManual(1000, 0)}
	for id := range count {
		w.nodes = append(w.nodes, &node{cluster: w, id: id, reader: id == 0})
		w.nodes[id].restart()
	}
	return w
}

func (n *node) restart() {
	n.state = &hashChain{}
	n.wakeAt = 0
	n.follower = follower.New(follower.Config{
		Stream: appender.Configuration, Log: (*nodeLog)(n), Relay: (*nodeRelay)(n), Clock: n.cluster.clock,
		Rand:       rand.New(rand.NewPCG(uint64(n.id), 7)),
		Assignment: func() follower.Assignment { return follower.Assignment{Reader: n.reader, Relays: n.others(2)} },
		Peers:      func() []identifier.Address { return n.others(len(n.cluster.nodes)) },
	}, n.state)
}

// others returns up to count other nodes, those with the lowest ids first.
func (n *node) others(count int) []identifier.Address {
	var list []identifier.Address
	for id := range n.cluster.nodes {
		if id != n.id && len(list) < count {
			list = append(list, identifier.Address(fmt.Sprint(id)))
		}
	}
	return list
}

func (w *cluster) append(payload []byte) {
	sum := uint64(0)
	if n := len(w.sums); n > 0 {
		sum = w.sums[n-1]
	}
	if !bytes.HasPrefix(payload, []byte("checkpoint")) {
		sum = addToHash(sum, payload)
	}
	w.records, w.sums = append(w.records, payload), append(w.sums, sum)
	w.times = append(w.times, w.clock.Now())
}

func (w *cluster) change() {
	w.appended++
	w.append(fmt.Appendf(nil, "change %d", w.appended))
}

func (w *cluster) next() identifier.Offset { return identifier.Offset(len(w.records)) }

// runDue runs every node that is due, then advances the clock.
func (w *cluster) runDue(span timer.Millis) {
	for _, n := range w.nodes {
		if n.wakeAt <= w.clock.Now() {
			n.wakeAt = n.follower.RunOnce(context.Background()) + w.clock.Now()
		}
	}
	w.clock.Advance(span)
}

// corrupt drops or repeats a record of an answer, as a faulty relay might.
func (w *cluster) corrupt(records []appender.Record) []appender.Record {
	kind := w.corruption
	if len(records) > 1 {
		w.corruption = 0
		switch kind {
		case 1:
			return records[1:]
		case 2:
			return append([]appender.Record{records[0], records[0]}, records[1:]...)
		}
	}
	return records
}

type nodeLog node

func (l *nodeLog) Append(context.Context, appender.Stream, []byte) (identifier.Offset, error) {
	return 0, errDown
}

func (l *nodeLog) Read(_ context.Context, _ appender.Stream, from identifier.Offset, limit int, _ timer.Millis) (appender.Batch, error) {
	w := l.cluster
	l.logReads++
	if w.down || l.logUnreachable {
		return appender.Batch{}, errDown
	}
	if from < w.first {
		return appender.Batch{}, &appender.ExpiredError{First: w.first, Next: w.next()}
	}
	batch := appender.Batch{First: w.first, Next: w.next()}
	for o := from; o < w.next() && len(batch.Records) < min(limit, 3); o++ {
		batch.Records = append(batch.Records, appender.Record{Offset: o, Payload: w.records[o]})
	}
	batch.Records = w.corrupt(batch.Records)
	if w.appendDuringRead {
		w.clock.Advance(10)
		w.change()
		w.appendDuringRead = false
		w.clock.Advance(10)
	}
	return batch, nil
}

type nodeRelay node

func (r *nodeRelay) peer(address identifier.Address) (*node, error) {
	var id int
	if _, err := fmt.Sscan(string(address), &id); err != nil {
		return nil, err
	}
	peer := r.cluster.nodes[id]
	if r.peersUnreachable || peer.peersUnreachable {
		return nil, errDown
	}
	return peer, nil
}

func (r *nodeRelay) Fetch(ctx context.Context, address identifier.Address, _ appender.Stream, from identifier.Offset, limit int, _ timer.Millis) (follower.FetchResult, error) {
	peer, err := r.peer(address)
	if err != nil {
		return follower.FetchResult{}, err
	}
	answer := peer.follower.Fetch(ctx, from, limit, 0)
	answer.Records = r.cluster.corrupt(answer.Records)
	return answer, nil
}

func (r *nodeRelay) Snapshot(_ context.Context, address identifier.Address, _ appender.Stream) (follower.Snapshot, error) {
	peer, err := r.peer(address)
	if err != nil || peer.state.next == 0 {
		return follower.Snapshot{}, err
	}
	return follower.Snapshot{Payload: peer.state.checkpoint(), Folded: peer.state.next - 1}, nil
}
