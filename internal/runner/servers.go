package runner

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/valyala/fasthttp"

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
	ingress        *fasthttp.Server
	peer           *fasthttp.Server
	local          *fasthttp.Server
	administration *http.Server
	failed         chan error
}

func (d *daemon) listen() (*servers, error) {
	limits := d.settings.Limits
	newServer := func(handler fasthttp.RequestHandler, body int64) *fasthttp.Server {
		return &fasthttp.Server{
			Handler: limitConnectionAge(handler), ErrorHandler: receiver.HandleError, Concurrency: int(limits.Connections), ReadBufferSize: int(limits.HeaderBytes),
			MaxRequestBodySize: int(body), ReadTimeout: readTimeout.Duration(), IdleTimeout: callerIdleTimeout.Duration(),
			NoDefaultServerHeader:        true,
			DisablePreParseMultipartForm: true, NoDefaultContentType: true,
			SecureErrorLogMessage: true, Logger: serverLogger{d.logger}, CloseOnShutdown: true,
		}
	}
	peerResponder := responder.New(responder.Config{
		Instance: d.settings.Node, Incarnation: d.incarnation, Followers: d.followers, Snapshots: d,
		Announcer: d.announcer, Admission: d.admission, Keys: d.claimer,
		Version: func() identifier.Version { return d.configuration.View().Version }, Draining: d.draining,
	})
	s := &servers{
		ingress:        newServer(d.ingress.Serve, limits.BodyBytes),
		peer:           newServer(peerResponder.Handler(d.admission.Serve), max(limits.BodyBytes, maxMessageBytes)),
		local:          newServer(d.serveLocal, maxAnnouncementBytes),
		administration: &http.Server{Handler: d.administration(), ReadHeaderTimeout: readTimeout.Duration()},
		failed:         make(chan error, 4),
	}
	for _, part := range []struct {
		address identifier.Address
		serve   func(net.Listener) error
	}{
		{d.settings.Addresses.Peer, s.peer.Serve},
		{d.settings.Addresses.Local, s.local.Serve},
		{d.settings.Addresses.Administration, s.administration.Serve},
		{d.settings.Addresses.Ingress, s.ingress.Serve},
	} {
		listener, err := net.Listen("tcp", string(part.address))
		if err != nil {
			return nil, Error.Wrap(err)
		}
		go func() {
			if err := part.serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
				s.failed <- err
			}
		}()
	}
	return s, nil
}

// limitConnectionAge closes a connection after a response once it is older than
// connectionLifetime.
func limitConnectionAge(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		handler(ctx)
		if time.Since(ctx.ConnTime()) > connectionLifetime.Duration() {
			ctx.SetConnectionClose()
		}
	}
}

// serveLocal handles announcements of the backend server.
func (d *daemon) serveLocal(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/announce" || !ctx.IsPost() {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	announcement, findings := receiver.DecodeAnnouncement(ctx.PostBody())
	if len(findings) > 0 {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		ctx.SetContentType("application/json")
		body, _ := json.Marshal(struct { // The error is ignored: findings hold only text.
			Findings []reporter.Finding `json:"findings"`
		}{findings})
		ctx.SetBody(body)
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
