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
	// respreadInterval is the time between repetitions, so that a daemon that
	// was cut off or has just started learns the entries too.
	respreadInterval = 10 * timer.Second
	pushTimeout      = timer.Second
	// maxSpreadEntries bounds one message.
	maxSpreadEntries = 1024
)

// quarantineSpread sends the own quarantine entries to the other daemons of the
// service, directly and repeatedly, so that they spread while the log is down.
type quarantineSpread struct {
	daemon *daemon

	mu      sync.Mutex
	service identifier.ServiceName
	entries map[identifier.Fingerprint]quarantiner.Entry
}

func newQuarantineSpread(d *daemon) *quarantineSpread {
	return &quarantineSpread{daemon: d, entries: map[identifier.Fingerprint]quarantiner.Entry{}}
}

// add sends new entries at once and keeps them for repetition.
func (q *quarantineSpread) add(service identifier.ServiceName, entries []quarantiner.Entry) {
	q.mu.Lock()
	q.service = service
	for _, entry := range entries {
		if len(q.entries) < maxSpreadEntries {
			q.entries[entry.Fingerprint] = entry
		}
	}
	q.mu.Unlock()
	q.push(service, entries)
}

// run repeats the entries that have not expired.
func (q *quarantineSpread) run(ctx context.Context) {
	every(ctx, respreadInterval, func() {
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

func (q *quarantineSpread) push(service identifier.ServiceName, entries []quarantiner.Entry) {
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

func (q *quarantineSpread) pushTo(peer identifier.Address, request *peerv1.PushQuarantineRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout.Duration())
	defer cancel()
	if _, err := q.daemon.peers.Client(peer).PushQuarantine(ctx, request); err != nil {
		q.daemon.logger.Debug("quarantine entries not delivered", "peer", peer, "error", err.Error())
	}
}
