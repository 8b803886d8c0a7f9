package announcer

import (
	"context"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1/peerv1connect"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// PeerClients implements Peers by RPC to other daemons.
type PeerClients struct {
	// Client returns the client for a daemon's peer address.
	Client func(identifier.Address) peerv1connect.PeerClient
}

var _ Peers = PeerClients{}

// Announce calls Peer.Announce.
func (p PeerClients) Announce(ctx context.Context, peer identifier.Address, records []tracker.Record) (bool, error) {
	req := &peerv1.AnnounceRequest{}
	for _, r := range records {
		text, err := tracker.EncodeRecord(r)
		if err != nil {
			return false, Error.Wrap(err)
		}
		req.Records = append(req.Records, text)
	}
	res, err := p.Client(peer).Announce(ctx, req)
	return res.GetAppended(), Error.Wrap(err)
}

// Serve handles Peer.Announce. It accepts either all records or none.
func Serve(ctx context.Context, a *Announcer, req *peerv1.AnnounceRequest) (*peerv1.AnnounceResponse, error) {
	records := make([]tracker.Record, 0, len(req.GetRecords()))
	for _, text := range req.GetRecords() {
		record, err := tracker.DecodeRecord(text)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		records = append(records, record)
	}
	appended, err := a.Announce(ctx, records)
	if err != nil {
		return nil, err
	}
	return &peerv1.AnnounceResponse{Appended: appended}, nil
}
