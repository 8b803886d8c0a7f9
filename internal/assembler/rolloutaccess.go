package assembler

import (
	"context"
	"errors"

	"github.com/magnoliaknot/magnoliaknot/internal/state/promoter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// access performs an action on the store and returns the event that answers it.
func (r *rollouts) access(ctx context.Context, service identifier.ServiceName, action promoter.Action) promoter.Event {
	switch a := action.(type) {
	case promoter.ReadControl:
		control, err := r.read(ctx)
		if err != nil {
			r.logFailure(service, "read", err)
			return promoter.ReadFailed{}
		}
		return promoter.ControlRead{Control: control}
	case promoter.Write:
		return r.write(ctx, a)
	case promoter.Publish:
		if err := r.config.Store.PublishRollout(ctx, a.Progress); err != nil {
			r.logFailure(service, "publish", err)
			return promoter.PublishFailed{}
		}
		r.published(a.Progress)
		return promoter.Published{}
	case promoter.Ask, promoter.Log:
	}
	return nil // The promoter ignores it.
}

// read returns what the store holds and puts it in force if it is newer.
func (r *rollouts) read(ctx context.Context) (router.Control, error) {
	control, err := r.config.Store.Read(ctx)
	if err == nil {
		r.config.Adopt(&router.Snapshot{Control: control})
	}
	return control, err
}

// write stores a progress and puts it in force.
func (r *rollouts) write(ctx context.Context, a promoter.Write) promoter.Event {
	end, err := r.config.Store.WriteRollout(ctx, a.Progress, a.Since)
	if errors.Is(err, ErrConflict) {
		return promoter.Conflicted{}
	}
	if err == nil {
		// Only the records up to since and the written one make up the state at its end.
		if control := r.config.Snapshot().Control; control.Position() == a.Since {
			r.config.Adopt(&router.Snapshot{Control: control.With(a.Progress, end)})
		} else {
			_, err = r.read(ctx)
		}
	}
	if err != nil {
		r.logFailure(a.Progress.Service, "write", err)
		return promoter.WriteFailed{}
	}
	return promoter.Written{Position: end}
}

func (r *rollouts) published(progress router.RolloutProgress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open, found := r.open[progress.Service]; found {
		open.published = stateOf(progress)
	}
}

func (r *rollouts) logFailure(service identifier.ServiceName, access string, err error) {
	r.config.Logger.Warn("roll-out: store not reached", "service", service, "access", access, "error", err.Error())
}
