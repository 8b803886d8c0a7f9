package assembler

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Paths at which a daemon asks another for what it knows.
const (
	pathConfiguration = "/magnoliaknot/configuration"
	pathMembers       = "/magnoliaknot/members"
)

const (
	syncTimeout = 800 * timer.Millis(1)
	// nearDelay and farDelay bound the random time until a newer configuration is
	// fetched from the own and from another failure domain. Spread over them, most
	// daemons fetch it from a near one that has fetched it before.
	nearDelay = 60 * timer.Millis(1)
	farDelay  = 250 * timer.Millis(1)
	// maxConfiguration bounds a configuration that another daemon sends.
	maxConfiguration = 64 << 20
)

// shared is the encoded configuration, kept for the members that fetch it.
type shared struct {
	mu       sync.Mutex
	snapshot *router.Snapshot
	data     []byte
}

// encode returns a snapshot as compressed JSON.
func (s *shared) encode(snapshot *router.Snapshot) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot == snapshot {
		return s.data, nil
	}
	var buffer bytes.Buffer
	compressed := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(compressed).Encode(snapshot); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := compressed.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	s.snapshot, s.data = snapshot, buffer.Bytes()
	return s.data, nil
}

// decodeSnapshot is the inverse of encode.
func decodeSnapshot(data []byte) (*router.Snapshot, error) {
	compressed, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	snapshot := &router.Snapshot{}
	if err := json.NewDecoder(io.LimitReader(compressed, maxConfiguration)).Decode(snapshot); err != nil {
		return nil, Error.Wrap(err)
	}
	return snapshot, nil
}

// servePeer serves an attempt or a question of another daemon.
func (d *Daemon) servePeer(x *exchanger.Exchange) {
	header := &x.Request.Header
	if len(header.Peek(encoder.HeaderAttempt)) > 0 {
		d.admission.Handle(x)
		return
	}
	var body []byte
	var err error
	switch string(header.RequestURI()) {
	case pathConfiguration:
		body, err = d.shared.encode(d.configuration.Snapshot())
	case pathMembers:
		body, err = json.Marshal(append(d.gossiper.Members(), d.self()))
	default:
		x.Response.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if err != nil {
		d.config.Logger.Error("answer to a member not encoded", "error", err.Error())
		x.Response.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	x.Response.SetBodyRaw(body)
}

// newer collects the members that have a newer configuration.
type newer struct {
	mu       sync.Mutex
	members  map[identifier.InstanceID]registrar.Member
	fetching bool
}

// add notes a member and reports whether nobody fetches yet.
func (n *newer) add(m registrar.Member) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.members == nil {
		n.members = map[identifier.InstanceID]registrar.Member{}
	}
	n.members[m.Node] = m
	first := !n.fetching
	n.fetching = true
	return first
}

// take returns a random member, one of the own failure domain if there is any,
// and forgets the others.
func (n *newer) take(domain identifier.FailureDomain) (registrar.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var near, far []registrar.Member
	for _, m := range n.members {
		if m.FailureDomain == domain {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	n.members = nil
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return registrar.Member{}, false
	}
	return near[rand.IntN(len(near))], true
}

func (n *newer) done() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fetching = false
}

// ahead fetches the configuration of a member that has a newer one, unless the
// own source brings it first.
func (d *Daemon) ahead(m registrar.Member) {
	if !d.newer.add(m) {
		return
	}
	delay := nearDelay
	if m.FailureDomain != d.config.FailureDomain {
		delay = farDelay
	}
	before := d.configuration.Snapshot()
	time.AfterFunc((1 + timer.Millis(rand.Int64N(int64(delay)))).Duration(), func() {
		defer d.newer.done()
		from, found := d.newer.take(d.config.FailureDomain)
		if found && d.configuration.Snapshot() == before {
			d.fetchConfiguration(from)
		}
	})
}

// fetchConfiguration asks another daemon for its configuration.
func (d *Daemon) fetchConfiguration(m registrar.Member) {
	body, err := d.ask(m, pathConfiguration)
	if err == nil {
		var snapshot *router.Snapshot
		if snapshot, err = decodeSnapshot(body); err == nil {
			d.config.Logger.Info("configuration shared", "member", m.Node, "version", snapshot.Version, "offset", snapshot.Offset)
			d.adopt(snapshot.Index())
			return
		}
	}
	d.config.Logger.Warn("member did not share its configuration", "member", m.Node, "error", err.Error())
}

// fetchMembers asks another daemon for the members that it knows.
func (d *Daemon) fetchMembers(m registrar.Member) bool {
	body, err := d.ask(m, pathMembers)
	var members []registrar.Member
	if err == nil {
		err = json.Unmarshal(body, &members)
	}
	if err != nil {
		d.config.Logger.Warn("member did not share the members", "member", m.Node, "error", err.Error())
		return false
	}
	d.learned(members)
	return true
}

// ask sends a question to another daemon.
func (d *Daemon) ask(m registrar.Member, path string) ([]byte, error) {
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.Header.SetMethod(fasthttp.MethodGet)
	request.Header.SetRequestURI(path)
	request.Header.SetHost(string(m.Peer))
	result := d.peers.Pool(m.Peer).Do(&exchanger.Call{
		Request: request, Response: response, MaxReuseIdle: syncTimeout, Deadline: time.Now().Add(syncTimeout.Duration()),
	})
	if result != exchanger.Answered || response.StatusCode() != fasthttp.StatusOK {
		return nil, Error.New("%s: result %d, status %d", path, result, response.StatusCode())
	}
	return response.Body(), nil
}

func serveMetrics(x *exchanger.Exchange) {
	x.Response.Header.SetContentType("text/plain; version=0.0.4")
	metrics.WritePrometheus(x.Response.BodyWriter(), true)
}
