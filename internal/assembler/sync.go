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

// Paths at which a daemon serves its configuration and members to other daemons.
const (
	pathConfiguration = "/magnoliaknot/configuration"
	pathMembers       = "/magnoliaknot/members"
)

const (
	syncTimeout = 800 * timer.Millis(1)
	// sameDomainDelay and otherDomainDelay bound the random delay before a newer
	// configuration is fetched from a daemon in the same and in another failure
	// domain. The spread lets most daemons fetch it within their failure domain, from
	// one that already has it.
	sameDomainDelay  = 60 * timer.Millis(1)
	otherDomainDelay = 250 * timer.Millis(1)
	// maxConfigurationBytes bounds the decompressed configuration of another daemon.
	maxConfigurationBytes = 64 << 20
	// maxSyncBytes bounds the response to a query: the compressed configuration, or the
	// members of a fleet at about 400 bytes each.
	maxSyncBytes = 16 << 20
)

// configurationCache caches the encoded configuration for the members that fetch it.
type configurationCache struct {
	mu       sync.Mutex
	snapshot *router.Snapshot
	data     []byte
}

// encode returns a snapshot as compressed JSON.
func (s *configurationCache) encode(snapshot *router.Snapshot) ([]byte, error) {
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
	// The checksum is compared at the end of the data only.
	text, err := io.ReadAll(io.LimitReader(compressed, maxConfigurationBytes+1))
	switch {
	case err != nil:
		return nil, Error.Wrap(err)
	case len(text) > maxConfigurationBytes:
		return nil, Error.New("configuration of more than %d bytes", maxConfigurationBytes)
	}
	snapshot := &router.Snapshot{}
	if err := json.Unmarshal(text, snapshot); err != nil {
		return nil, Error.Wrap(err)
	}
	return snapshot, nil
}

// servePeer handles an attempt or a query of another daemon.
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
		body, err = d.encodedConfiguration.encode(d.configuration.Snapshot())
	case pathMembers:
		members := append(d.gossiper.Members(), d.self())
		if !x.Memory().Grow(int64(len(members)) * memberBytes) {
			rejectPeer(x, exchanger.OutOfMemory)
			return
		}
		body, err = json.Marshal(members)
	default:
		x.Response.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if err != nil {
		d.config.Logger.Error("encoding the response to a member failed", "error", err.Error())
		x.Response.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	x.Response.SetBodyRaw(body)
}

// newerMembers collects the members that have a newer configuration.
type newerMembers struct {
	mu       sync.Mutex
	members  map[identifier.InstanceID]registrar.Member
	fetching bool
}

// add adds a member and reports whether no fetch was scheduled or running.
func (n *newerMembers) add(m registrar.Member) bool {
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

// takeRandom returns a random member, one of the given failure domain if there is any,
// and removes all members.
func (n *newerMembers) takeRandom(domain identifier.FailureDomain) (registrar.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var sameDomain, otherDomain []registrar.Member
	for _, m := range n.members {
		if m.FailureDomain == domain {
			sameDomain = append(sameDomain, m)
		} else {
			otherDomain = append(otherDomain, m)
		}
	}
	n.members = nil
	if len(sameDomain) == 0 {
		sameDomain = otherDomain
	}
	if len(sameDomain) == 0 {
		return registrar.Member{}, false
	}
	return sameDomain[rand.IntN(len(sameDomain))], true
}

func (n *newerMembers) done() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fetching = false
}

// scheduleFetch fetches the configuration of a member that has a newer one after a
// delay, unless the configuration has changed by then. If the member does not answer, the
// source is read.
func (d *Daemon) scheduleFetch(m registrar.Member) {
	if !d.newerMembers.add(m) {
		return
	}
	delay := sameDomainDelay
	if m.FailureDomain != d.config.FailureDomain {
		delay = otherDomainDelay
	}
	before := d.configuration.Snapshot()
	time.AfterFunc((1 + timer.Millis(rand.Int64N(int64(delay)))).Duration(), func() {
		defer d.newerMembers.done()
		from, found := d.newerMembers.takeRandom(d.config.FailureDomain)
		if !found || d.configuration.Snapshot() != before {
			return
		}
		if !d.fetchConfiguration(from) && d.configuration.Snapshot() == before {
			d.schedule.demand()
		}
	})
}

// fetchConfiguration fetches the configuration of another daemon and adopts it. It reports
// whether the daemon answered.
func (d *Daemon) fetchConfiguration(m registrar.Member) bool {
	body, err := d.get(m, pathConfiguration)
	if err == nil {
		var snapshot *router.Snapshot
		if snapshot, err = decodeSnapshot(body); err == nil {
			d.config.Logger.Info("configuration fetched from a member", "member", m.Node, "version", snapshot.Version, "era", snapshot.Era, "offset", snapshot.Offset)
			d.adopt(snapshot.Index())
			return true
		}
	}
	d.config.Logger.Warn("fetching the configuration of a member failed", "member", m.Node, "error", err.Error())
	return false
}

// fetchMembers fetches the members that another daemon knows. It reports whether that
// succeeded.
func (d *Daemon) fetchMembers(m registrar.Member) bool {
	body, err := d.get(m, pathMembers)
	var members []registrar.Member
	if err == nil {
		members, err = decodeMembers(body)
	}
	if err != nil {
		d.config.Logger.Warn("fetching the members known to a member failed", "member", m.Node, "error", err.Error())
		return false
	}
	d.addMembers(members)
	return true
}

// decodeMembers decodes the members that another daemon knows, without those that cannot be
// daemons.
func decodeMembers(data []byte) ([]registrar.Member, error) {
	var list []json.RawMessage
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, Error.Wrap(err)
	}
	members := make([]registrar.Member, 0, len(list))
	for _, raw := range list {
		var m registrar.Member
		if json.Unmarshal(raw, &m) == nil && m.Check() == nil {
			members = append(members, m)
		}
	}
	return members, nil
}

// get sends a GET request to another daemon and returns the response body.
func (d *Daemon) get(m registrar.Member, path string) ([]byte, error) {
	request, response := &exchanger.Request{}, &fasthttp.Response{}
	request.Header.SetMethod(fasthttp.MethodGet)
	request.Header.SetRequestURI(path)
	request.Header.SetHost(string(m.Peer))
	result := d.peers.Pool(m.Peer).Do(&exchanger.Call{
		Request: request, Response: response, MaxReuseIdle: syncTimeout, Deadline: time.Now().Add(syncTimeout.Duration()),
		BodyLimit: maxSyncBytes,
	})
	if result != exchanger.Answered || response.StatusCode() != fasthttp.StatusOK {
		return nil, Error.New("%s: result %d, status %d", path, result, response.StatusCode())
	}
	return response.Body(), nil
}

// memberBytes is more than a member takes in the response to a query.
const memberBytes = 1 << 10

// metricsBytes is more than the text of the metrics.
const metricsBytes = 256 << 10

func serveMetrics(x *exchanger.Exchange) {
	if !x.Memory().Grow(metricsBytes) {
		rejectPeer(x, exchanger.OutOfMemory)
		return
	}
	x.Response.Header.SetContentType("text/plain; version=0.0.4")
	metrics.WritePrometheus(x.Response.BodyWriter(), true)
}
