package runner

import (
	"context"
	"sync"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/responder"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// rebroadcastInterval is the time between repeated broadcasts, by which daemons
	// that were unreachable or have just started receive the entries too.
	rebroadcastInterval = 10 * timer.Second
	pushTimeout         = timer.Second
	// maxBroadcastEntries limits the entries kept for repetition, and with them the
	// size of a repeated message.
	maxBroadcastEntries = 1024
)

// quarantineBroadcaster sends this daemon's quarantine entries directly and
// repeatedly to the other daemons of the service, so that they propagate while the
// log is unavailable.
type quarantineBroadcaster struct {
	daemon *daemon

	mu      sync.Mutex
	service identifier.ServiceName
	entries map[identifier.Fingerprint]quarantiner.Entry
}

func newQuarantineBroadcaster(d *daemon) *quarantineBroadcaster {
	return &quarantineBroadcaster{daemon: d, entries: map[identifier.Fingerprint]quarantiner.Entry{}}
}

// add broadcasts new entries at once and keeps them for repeated broadcasts.
func (q *quarantineBroadcaster) add(service identifier.ServiceName, entries []quarantiner.Entry) {
	q.mu.Lock()
	q.service = service
	for _, entry := range entries {
		if len(q.entries) < maxBroadcastEntries {
			q.entries[entry.Fingerprint] = entry
		}
	}
	q.mu.Unlock()
	q.push(service, entries)
}

// run rebroadcasts the entries that have not expired and removes the others.
func (q *quarantineBroadcaster) run(ctx context.Context) {
	every(ctx, rebroadcastInterval, func() {
		wall := q.daemon.clock.Wall()
		q.mu.Lock()
		service := q.service
		entries := make([]quarantiner.Entry, 0, len(q.entries))
		for fingerprint, entry := range q.entries {
			if entry.Expires <= wall {
				delete(q.entries, fingerprint)
				continue
			}
			entries = append(entries, entry)
		}
		q.mu.Unlock()
		if len(entries) > 0 {
			q.push(service, entries)
		}
	})
}

func (q *quarantineBroadcaster) push(service identifier.ServiceName, entries []quarantiner.Entry) {
	request := new(peerv1.PushQuarantineRequest)
	for _, entry := range entries {
		request.Entries = append(request.Entries, responder.EncodeEntry(service, entry))
	}
	for _, m := range q.daemon.membership.Instances(service) {
		if m.Instance != q.daemon.settings.Node {
			go q.pushTo(m.Peer, request)
		}
	}
}

func (q *quarantineBroadcaster) pushTo(peer identifier.Address, request *peerv1.PushQuarantineRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout.Duration())
	defer cancel()
	if _, err := q.daemon.peers.Client(peer).PushQuarantine(ctx, request); err != nil {
		q.daemon.logger.Debug("quarantine entries not delivered", "peer", peer, "error", err.Error())
	}
}
