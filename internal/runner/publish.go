package runner

import (
	"context"

	"github.com/magnoliaknot/magnoliaknot/internal/state/reducer"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

type simplePublisher struct{ d *daemon }

func (p simplePublisher) Publish(ctx context.Context, id identifier.ChangeID, payload []byte) (reducer.AuditEntry, error) {
	if _, err := p.d.log.Append(ctx, appender.Configuration, payload); err != nil {
		return reducer.AuditEntry{}, err
	}
	for {
		changed := p.d.configuration.Changed()
		if entry, found := p.d.configuration.Fate(id); found {
			return entry, nil
		}
		select {
		case <-ctx.Done():
			return reducer.AuditEntry{}, ctx.Err()
		case <-changed:
		}
	}
}
