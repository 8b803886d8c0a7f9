package claimer

import (
	"context"
	"log/slog"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Peer is the subset of another daemon's peer service that a claimer calls.
type Peer interface {
	Promise(ctx context.Context, req *peerv1.PromiseRequest) (*peerv1.PromiseResponse, error)
	Claim(ctx context.Context, req *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error)
	Settle(ctx context.Context, req *peerv1.SettleRequest) (*peerv1.SettleResponse, error)
	Handover(ctx context.Context, req *peerv1.HandoverRequest) (*peerv1.HandoverResponse, error)
}

// Config configures a Claimer. ShardCount and Logger have defaults. The functions
// are called while the claimer holds no lock.
type Config struct {
	// Self identifies this daemon and its incarnation. A daemon that joins again
	// with a new incarnation needs a new claimer.
	Self deduplicator.Claimant
	// ShardCount must be the same in all daemons of a deployment.
	ShardCount uint32
	Log        appender.Log
	Clock      timer.Clock
	// Peer returns the client for a daemon, or false if its address is unknown.
	Peer func(deduplicator.Claimant) (Peer, bool)
	// Members returns the daemons that are known to run, this one included.
	// The returned list must not be modified afterwards.
	Members func() deduplicator.Members
	// Window returns the deduplication window of a service, or false if the
	// service is unknown or does not use deduplication.
	Window func(identifier.ServiceName) (timer.Millis, bool)
	// Memory bounds the claims, their answers and the reports. Nil has no bound but their
	// numbers.
	Memory deduplicator.Memory
	Logger *slog.Logger
}

func (c Config) withDefaults() Config {
	if c.ShardCount == 0 {
		c.ShardCount = deduplicator.DefaultShardCount
	}
	c.Memory = deduplicator.OrUnbounded(c.Memory)
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return c
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, span timer.Millis) {
	timeout := time.NewTimer(span.Duration())
	defer timeout.Stop()
	select {
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// call sends one request to a peer with a timeout.
func call[Request, Response any](ctx context.Context, limit timer.Millis, send func(context.Context, Request) (Response, error), request Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	response, err := send(ctx, request)
	return response, Error.Wrap(err)
}
