package assembler

import (
	"context"
	"errors"

	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
)

// ErrConflict is returned by a conditional write of ControlStore if another record was
// written since. Nothing was written, or what was written has to be read.
var ErrConflict = errors.New("other records were written since")

// ControlStore keeps what the daemons have agreed on. After another error than
// ErrConflict a write may have been carried out, or may be later while its condition
// holds; Read shows whether it was.
type ControlStore interface {
	Read(ctx context.Context) (router.Control, error)
	// WriteRollout stores the progress of a roll-out on the condition that the records
	// still end at since, and returns their new end.
	WriteRollout(ctx context.Context, progress router.RolloutProgress, since router.Position) (router.Position, error)
	// WriteCoordinator does the same for the coordinator of quotas.
	WriteCoordinator(ctx context.Context, coordinator router.Coordinator, since router.Position) (router.Position, error)
	// PublishRollout updates the operator's status of a roll-out if it differs.
	PublishRollout(ctx context.Context, progress router.RolloutProgress) error
}
