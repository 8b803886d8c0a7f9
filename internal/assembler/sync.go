package assembler

import (
	"encoding/json"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// syncPath is where a daemon asks another for all that it knows.
	syncPath    = "/magnoliaknot/sync"
	syncTimeout = 500 * timer.Millis(1)
	// syncDelay gives the own source time to bring a change that a member
	// already has.
	syncDelay = 60 * timer.Millis(1)
)

// knowledge is what a daemon knows, for one that cannot ask the platform.
type knowledge struct {
	Snapshot *router.Snapshot   `json:"snapshot"`
	Members  []registrar.Member `json:"members"`
}

// servePeer serves an attempt or a question of another daemon.
func (d *Daemon) servePeer(x *exchanger.Exchange) {
	header := &x.Request.Header
	if len(header.Peek(encoder.HeaderAttempt)) > 0 {
		d.admission.Handle(x)
		return
	}
	if string(header.RequestURI()) != syncPath {
		x.Response.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	own, _ := d.admission.Member()
	body, err := json.Marshal(knowledge{Snapshot: d.configuration.Snapshot(), Members: append(d.gossiper.Members(), own)})
	if err != nil {
		d.config.Logger.Error("knowledge not encoded", "error", err.Error())
		x.Response.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	x.Response.Header.SetContentType("application/json")
	x.Response.SetBodyRaw(body)
}

// ahead fetches the configuration of a member that has a newer one, unless the
// own source brings it first.
func (d *Daemon) ahead(m registrar.Member) {
	if d.fetching.Swap(true) {
		return
	}
	go func() {
		defer d.fetching.Store(false)
		before := d.configuration.Snapshot().Offset
		time.Sleep(syncDelay.Duration())
		if d.configuration.Snapshot().Offset == before {
			d.fetch(m)
		}
	}()
}

// fetch asks another daemon for what it knows.
func (d *Daemon) fetch(m registrar.Member) {
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.Header.SetMethod(fasthttp.MethodGet)
	request.Header.SetRequestURI(syncPath)
	request.Header.SetHost(string(m.Peer))
	result := d.peers.Pool(m.Peer).Do(&exchanger.Call{
		Request: request, Response: response, ReuseWithin: syncTimeout, Deadline: time.Now().Add(syncTimeout.Duration()),
	})
	if result != exchanger.Answered || response.StatusCode() != fasthttp.StatusOK {
		d.config.Logger.Warn("member did not share its configuration", "member", m.Node, "result", int(result))
		return
	}
	var k knowledge
	if err := json.Unmarshal(response.Body(), &k); err != nil || k.Snapshot == nil {
		d.config.Logger.Warn("shared configuration not readable", "member", m.Node, "error", err)
		return
	}
	d.config.Logger.Info("configuration shared", "member", m.Node, "version", k.Snapshot.Version, "offset", k.Snapshot.Offset)
	d.adopt(k.Snapshot.Index())
	d.learned(k.Members)
}

func serveMetrics(x *exchanger.Exchange) {
	x.Response.Header.SetContentType("text/plain; version=0.0.4")
	metrics.WritePrometheus(x.Response.BodyWriter(), true)
}
