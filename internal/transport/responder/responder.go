// Package responder handles the messages of other daemons.
//
// Messages and attempts share the peer address. Requests with the attempt header
// are attempts; all others go to the message handlers.
//
// # Usage
//
//	r := responder.New(responder.Config{Configuration: f, Membership: g, ...})
//	server := exchanger.NewServer(exchanger.ServerConfig{Handler: r.Handler(admission), Names: responder.Names, ...})
package responder

import (
	"context"

	"connectrpc.com/connect"
	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/announcer"
	"github.com/magnoliaknot/magnoliaknot/internal/coordination/follower"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1/peerv1connect"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/separator"
	"github.com/magnoliaknot/magnoliaknot/internal/state/fencer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/adapter"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("responder")

const (
	// maxMessageBytes bounds a message from another daemon.
	maxMessageBytes = 16 << 20
	// compressMinBytes leaves all but snapshots uncompressed. A gzip writer
	// takes 0.8 MB, and the pool kept dozens of them for messages of 20 bytes.
	compressMinBytes = 64 << 10
)

// KeyService handles messages about idempotency keys.
type KeyService interface {
	ServeClaim(ctx context.Context, request *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error)
	ServeSettle(ctx context.Context, request *peerv1.SettleRequest) (*peerv1.SettleResponse, error)
	ServePromise(ctx context.Context, request *peerv1.PromiseRequest) (*peerv1.PromiseResponse, error)
	ServeHandover(ctx context.Context, request *peerv1.HandoverRequest) (*peerv1.HandoverResponse, error)
}

// Admission fences attempts and receives quarantine entries.
type Admission interface {
	Fence(attempt identifier.AttemptID) fencer.State
	AddQuarantineEntries(service identifier.ServiceName, entries []quarantiner.Entry)
}

// Snapshots encodes the state derived from the streams.
type Snapshots interface {
	Snapshot() (*peerv1.GetSnapshotResponse, error)
}

// Config holds what the handlers need.
type Config struct {
	Instance    identifier.InstanceID
	Incarnation identifier.Incarnation
	Followers   map[appender.Stream]*follower.Follower
	Snapshots   Snapshots
	Announcer   *announcer.Announcer
	Admission   Admission
	Keys        KeyService
	Version     func() identifier.Version
	Draining    func() bool
}

// Responder implements the Peer service.
type Responder struct {
	KeyService
	config Config
}

var _ peerv1connect.PeerHandler = (*service)(nil)

// New returns a responder.
func New(config Config) *Responder { return &Responder{KeyService: config.Keys, config: config} }

// Names are the fields of attempts and messages that their handlers read or set.
var Names = separator.NewNames(append(encoder.ReadHeaders(), adapter.Fields()...), encoder.InternalHeaders())

// Handler serves attempts and messages on one address.
func (r *Responder) Handler(attempts exchanger.Handler) exchanger.Handler {
	_, handler := peerv1connect.NewPeerHandler(&service{r}, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressMinBytes))
	messages := adapter.New(handler, adapter.Config{Cost: adapter.MessageCost})
	return exchanger.HandlerFunc(func(x *exchanger.Exchange) {
		if len(x.Request.Header.Peek(encoder.HeaderAttempt)) > 0 {
			attempts.Handle(x)
			return
		}
		messages.Handle(x)
	})
}

// service adapts a Responder to the generated interface.
type service struct{ r *Responder }

// Fetch returns records of a stream.
func (s *service) Fetch(ctx context.Context, request *peerv1.FetchRequest) (*peerv1.FetchResponse, error) {
	f, found := s.r.config.Followers[appender.Stream(request.Stream)]
	if !found {
		return nil, connect.NewError(connect.CodeNotFound, Error.New("stream %q is not served", request.Stream))
	}
	return follower.Serve(ctx, f, request), nil
}

// GetSnapshot returns the state derived from the streams.
func (s *service) GetSnapshot(context.Context, *peerv1.GetSnapshotRequest) (*peerv1.GetSnapshotResponse, error) {
	snapshot, err := s.r.config.Snapshots.Snapshot()
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, Error.Wrap(err))
	}
	return snapshot, nil
}

// Announce receives membership records.
func (s *service) Announce(ctx context.Context, request *peerv1.AnnounceRequest) (*peerv1.AnnounceResponse, error) {
	answer, err := announcer.Serve(ctx, s.r.config.Announcer, request)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return answer, nil
}

// Ping responds immediately with the state of the daemon.
func (s *service) Ping(context.Context, *peerv1.PingRequest) (*peerv1.PingResponse, error) {
	return &peerv1.PingResponse{
		Instance: string(s.r.config.Instance), Incarnation: uint64(s.r.config.Incarnation),
		ConfigurationVersion: uint64(s.r.config.Version()), Draining: s.r.config.Draining(),
	}, nil
}

// Fence reports whether an attempt has started.
func (s *service) Fence(_ context.Context, request *peerv1.FenceRequest) (*peerv1.FenceResponse, error) {
	state := s.r.config.Admission.Fence(identifier.AttemptID{
		Origin: identifier.Incarnation(request.Origin), Sequence: request.Sequence,
	})
	return &peerv1.FenceResponse{State: fenceState(state), Incarnation: uint64(s.r.config.Incarnation)}, nil
}

func fenceState(state fencer.State) peerv1.FenceResponse_State {
	switch state {
	case fencer.NotRun:
		return peerv1.FenceResponse_STATE_NOT_RUN
	case fencer.Running, fencer.Queued:
		return peerv1.FenceResponse_STATE_RUNNING
	case fencer.Finished:
		return peerv1.FenceResponse_STATE_FINISHED
	case fencer.Unknown:
	}
	return peerv1.FenceResponse_STATE_UNKNOWN
}

// PushQuarantine receives fingerprints of requests that crash backend servers.
func (s *service) PushQuarantine(_ context.Context, request *peerv1.PushQuarantineRequest) (*peerv1.PushQuarantineResponse, error) {
	byService := map[identifier.ServiceName][]quarantiner.Entry{}
	for _, message := range request.Entries {
		entry, err := decodeEntry(message)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		name := identifier.ServiceName(message.Service)
		byService[name] = append(byService[name], entry)
	}
	for name, entries := range byService {
		s.r.config.Admission.AddQuarantineEntries(name, entries)
	}
	return &peerv1.PushQuarantineResponse{}, nil
}

// Promise renews a shard owner's lease.
func (s *service) Promise(ctx context.Context, request *peerv1.PromiseRequest) (*peerv1.PromiseResponse, error) {
	return s.r.ServePromise(ctx, request)
}

// Claim decides whether a keyed request may run.
func (s *service) Claim(ctx context.Context, request *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	return s.r.ServeClaim(ctx, request)
}

// Settle records the outcome of a keyed request.
func (s *service) Settle(ctx context.Context, request *peerv1.SettleRequest) (*peerv1.SettleResponse, error) {
	return s.r.ServeSettle(ctx, request)
}

// Handover receives the claims of a shard.
func (s *service) Handover(ctx context.Context, request *peerv1.HandoverRequest) (*peerv1.HandoverResponse, error) {
	return s.r.ServeHandover(ctx, request)
}

func decodeEntry(message *peerv1.QuarantineEntry) (quarantiner.Entry, error) {
	entry := quarantiner.Entry{Expires: timer.Millis(message.ExpiresAtMs), Kind: quarantiner.Suspect}
	if len(message.Fingerprint) != len(entry.Fingerprint) {
		return entry, Error.New("fingerprint has %d bytes", len(message.Fingerprint))
	}
	copy(entry.Fingerprint[:], message.Fingerprint)
	switch {
	case message.Quarantined && message.Cleared:
		return entry, Error.New("entry is quarantined and cleared")
	case message.Quarantined:
		entry.Kind = quarantiner.Quarantined
	case message.Cleared:
		entry.Kind = quarantiner.Cleared
	}
	return entry, nil
}

// EncodeEntry converts a quarantine entry to its wire form.
func EncodeEntry(name identifier.ServiceName, entry quarantiner.Entry) *peerv1.QuarantineEntry {
	return &peerv1.QuarantineEntry{
		Service: string(name), Fingerprint: entry.Fingerprint[:],
		Quarantined: entry.Kind == quarantiner.Quarantined, Cleared: entry.Kind == quarantiner.Cleared,
		ExpiresAtMs: int64(entry.Expires),
	}
}
