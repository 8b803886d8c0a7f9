package follower

import (
	"context"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1/peerv1connect"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// PeerRelay implements Relay by RPC to other daemons.
type PeerRelay struct {
	// Client returns the client for a daemon's peer address.
	Client func(identifier.Address) peerv1connect.PeerClient
}

var _ Relay = PeerRelay{}

// Fetch calls Peer.Fetch.
func (p PeerRelay) Fetch(ctx context.Context, peer identifier.Address, stream appender.Stream, from identifier.Offset, limit int, wait timer.Millis) (FetchResult, error) {
	res, err := p.Client(peer).Fetch(ctx, &peerv1.FetchRequest{
		Stream: string(stream), From: uint64(from), Limit: uint32(limit), WaitMs: int64(wait),
	})
	if err != nil {
		return FetchResult{}, Error.Wrap(err)
	}
	answer := FetchResult{
		First: identifier.Offset(res.GetFirst()), Next: identifier.Offset(res.GetNext()),
		ConfirmedAge: timer.Millis(res.GetConfirmedAgeMs()),
	}
	if answer.First > answer.Next || answer.ConfirmedAge < 0 {
		return FetchResult{}, Error.New("invalid answer from %s: first %d, next %d, confirmed age %d ms", peer, answer.First, answer.Next, answer.ConfirmedAge)
	}
	for _, r := range res.GetRecords() {
		answer.Records = append(answer.Records, appender.Record{Offset: identifier.Offset(r.GetOffset()), Payload: r.GetPayload()})
	}
	return answer, nil
}

// Snapshot calls Peer.GetSnapshot and returns the part of one stream.
func (p PeerRelay) Snapshot(ctx context.Context, peer identifier.Address, stream appender.Stream) (Snapshot, error) {
	res, err := p.Client(peer).GetSnapshot(ctx, &peerv1.GetSnapshotRequest{})
	if err != nil {
		return Snapshot{}, Error.Wrap(err)
	}
	switch stream {
	case appender.Configuration:
		return Snapshot{Payload: res.GetConfiguration(), Folded: identifier.Offset(res.GetConfigurationOffset())}, nil
	case appender.Membership:
		return Snapshot{Payload: res.GetMembership(), Folded: identifier.Offset(res.GetMembershipOffset())}, nil
	case appender.Ownership:
		return Snapshot{Payload: res.GetOwnership(), Folded: identifier.Offset(res.GetOwnershipOffset())}, nil
	default:
		return Snapshot{}, Error.New("snapshots do not contain stream %q", stream)
	}
}

// Serve handles Peer.Fetch from a follower's window.
func Serve(ctx context.Context, f *Follower, req *peerv1.FetchRequest) *peerv1.FetchResponse {
	limit := int(min(req.GetLimit(), readLimit))
	answer := f.Fetch(ctx, identifier.Offset(req.GetFrom()), limit, timer.Millis(req.GetWaitMs()))
	res := &peerv1.FetchResponse{
		First: uint64(answer.First), Next: uint64(answer.Next), ConfirmedAgeMs: int64(answer.ConfirmedAge),
	}
	for _, r := range answer.Records {
		res.Records = append(res.Records, &peerv1.Record{Offset: uint64(r.Offset), Payload: r.Payload})
	}
	return res
}
