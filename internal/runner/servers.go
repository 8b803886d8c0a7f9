package runner

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/separator"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/adapter"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/receiver"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/responder"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Limits of the servers and their connections.
const (
	callerIdleTimeout = 60 * timer.Second
	// connectionLifetime is shorter than the retention of the attempt table, so that
	// a delayed attempt cannot arrive after its record has been removed.
	connectionLifetime   = 5 * timer.Minute
	readTimeout          = 30 * timer.Second
	maxAnnouncementBytes = 64 << 10
	maxMessageBytes      = 16 << 20
)

// servers holds the servers of a daemon.
type servers struct {
	ingress        *exchanger.Server
	peer           *exchanger.Server
	local          *exchanger.Server
	administration *exchanger.Server
	failed         chan error
}

func (d *daemon) listen() (*servers, error) {
	peerResponder := responder.New(responder.Config{
		Instance: d.settings.Node, Incarnation: d.incarnation, Followers: d.followers, Snapshots: d,
		Announcer: d.announcer, Admission: d.admission, Keys: d.claimer,
		Version: func() identifier.Version { return d.configuration.View().Version }, Draining: d.draining,
	})
	limits, connections := d.settings.Limits, d.connections
	s := &servers{failed: make(chan error, 4)}
	s.ingress = d.newServer(limits.HeaderBytes, limits.BodyBytes, exchanger.ServerConfig{
		Handler: d.ingress, Names: receiver.Names, Memory: d.memory.Callers(), MaxConnections: connections.callers,
	})
	s.peer = d.newServer(encoder.MaxHeadFactor*limits.HeaderBytes, max(limits.BodyBytes, maxMessageBytes), exchanger.ServerConfig{
		Handler: peerResponder.Handler(d.admission), Names: responder.Names, Memory: d.memory.Peers(), MaxConnections: connections.peers,
	})
	s.local = d.newServer(limits.HeaderBytes, maxAnnouncementBytes, exchanger.ServerConfig{
		Handler: exchanger.HandlerFunc(d.serveLocal), Memory: d.memory, MaxConnections: localConnections,
	})
	s.administration = d.newServer(limits.HeaderBytes, maxSheetBytes, exchanger.ServerConfig{
		Handler: adapter.New(d.administration(), adapter.Config{Cost: adapter.MessageCost}),
		Names:   separator.NewNames(adapter.Fields(), nil), Memory: d.memory, MaxConnections: localConnections,
	})
	for _, part := range []struct {
		address identifier.Address
		server  *exchanger.Server
	}{
		{d.settings.Addresses.Peer, s.peer},
		{d.settings.Addresses.Local, s.local},
		{d.settings.Addresses.Administration, s.administration},
		{d.settings.Addresses.Ingress, s.ingress},
	} {
		listener, err := exchanger.Listen("tcp", part.address)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		go func() {
			if err := part.server.Serve(listener); err != nil {
				s.failed <- err
			}
		}()
	}
	return s, nil
}

// newServer completes the configuration of a server whose requests have heads and bodies of
// at most these sizes.
func (d *daemon) newServer(headerBytes, bodyBytes int64, config exchanger.ServerConfig) *exchanger.Server {
	limits := exchanger.Limits{
		HeaderBytes: int(headerBytes), BodyBytes: int(bodyBytes),
		HeaderTimeout: readTimeout, IdleTimeout: callerIdleTimeout, ConnectionAge: connectionLifetime,
	}
	config.Limits = func() exchanger.Limits { return limits }
	config.Reject, config.Clock, config.Logger = receiver.Reject, d.clock, d.logger
	return exchanger.NewServer(config)
}

// serveLocal handles announcements of the backend server.
func (d *daemon) serveLocal(x *exchanger.Exchange) {
	path, _, _ := bytes.Cut(x.Request.Header.RequestURI(), []byte{'?'})
	if string(path) != "/announce" || !x.Request.Header.IsPost() {
		x.Response.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	announcement, findings := receiver.DecodeAnnouncement(x.Request.Body.Bytes())
	if len(findings) > 0 {
		x.Response.SetStatusCode(fasthttp.StatusBadRequest)
		x.Response.Header.SetContentType("application/json")
		body, _ := json.Marshal(struct { // The error is ignored: findings hold only text.
			Findings []reporter.Finding `json:"findings"`
		}{findings})
		x.Response.SetBody(body)
		return
	}
	d.admission.Announce(announcement)
}

// administration returns the handler for metrics, health checks, the administration
// API and, if enabled, profiling.
func (d *daemon) administration() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", d.serveMetrics())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if d.draining() || d.configuration.View().Version == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if d.settings.Profiling {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	}
	d.mountAdministration(mux)
	return mux
}
