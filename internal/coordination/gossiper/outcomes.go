package gossiper

import (
	"encoding/binary"
	"encoding/json"
	"net/netip"

	"github.com/magnoliaknot/magnoliaknot/internal/state/comparer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

const (
	// maxAskedTargets and maxAskedOthers bound the instances that one call of AskOutcomes
	// asks. In a larger service, calls ask different ones in turn.
	maxAskedTargets = 32
	maxAskedOthers  = 16
)

// outcomesRequest asks an instance for what it has counted.
type outcomesRequest struct {
	Service registrar.ServiceKey
	Target  identifier.ServiceVersion
	Halt    bool
}

// encode returns the datagram: flags and service as varints, then the target.
func (r outcomesRequest) encode() []byte {
	flags := uint64(0)
	if r.Halt {
		flags |= 1
	}
	data := binary.AppendUvarint([]byte{kindOutcomesRequest}, flags)
	data = binary.AppendUvarint(data, uint64(r.Service))
	return append(data, r.Target...)
}

// decodeOutcomesRequest decodes a request without its first byte.
func decodeOutcomesRequest(data []byte) (outcomesRequest, error) {
	flags, n := binary.Uvarint(data)
	if n <= 0 {
		return outcomesRequest{}, Error.New("request for counts has no flags")
	}
	service, m := binary.Uvarint(data[n:])
	if m <= 0 || service != uint64(registrar.ServiceKey(service)) {
		return outcomesRequest{}, Error.New("request for counts has no valid service key")
	}
	return outcomesRequest{
		Service: registrar.ServiceKey(service), Target: identifier.ServiceVersion(data[n+m:]), Halt: flags&1 > 0,
	}, nil
}

// outcomes is the state of the requests for counts. The gossiper's lock guards it.
type outcomes struct {
	// calls counts the calls of AskOutcomes for each service.
	calls map[identifier.ServiceName]int
	// versions are those that answers have named: a daemon of a large fleet does not get
	// the reports of all members.
	versions map[identifier.Incarnation]identifier.ServiceVersion
}

func newOutcomes() outcomes {
	return outcomes{calls: map[identifier.ServiceName]int{}, versions: map[identifier.Incarnation]identifier.ServiceVersion{}}
}

func (o *outcomes) retain(known func(identifier.Incarnation) bool) {
	for incarnation := range o.versions {
		if !known(incarnation) {
			delete(o.versions, incarnation)
		}
	}
}

func (o *outcomes) version(m registrar.Member) identifier.ServiceVersion {
	if version, answered := o.versions[m.Incarnation]; answered {
		return version
	}
	return m.Version
}

// choose returns the members to ask.
func (o *outcomes) choose(members []registrar.Member, service identifier.ServiceName, target identifier.ServiceVersion) []registrar.Member {
	var targets, others []registrar.Member
	for _, m := range members {
		switch {
		case m.Service != service:
		case o.version(m) == target:
			targets = append(targets, m)
		default:
			others = append(others, m)
		}
	}
	call := o.calls[service]
	o.calls[service]++
	return append(inTurn(targets, call, maxAskedTargets), inTurn(others, call, maxAskedOthers)...)
}

// inTurn returns up to limit members: those after the ones of the call before.
func inTurn(members []registrar.Member, call, limit int) []registrar.Member {
	count := min(len(members), limit)
	chosen := make([]registrar.Member, 0, count)
	for i := range count {
		chosen = append(chosen, members[(call*limit+i)%len(members)])
	}
	return chosen
}

// AskOutcomes asks instances of a service for what they have counted in its roll-out. Halt
// tells those of the target that they are to get no more requests.
func (g *Gossiper) AskOutcomes(service identifier.ServiceName, target identifier.ServiceVersion, halt bool) {
	request := outcomesRequest{Service: registrar.KeyOf(service), Target: target, Halt: halt}
	g.mu.Lock()
	chosen := g.outcomes.choose(g.table.Members(), service, target)
	g.mu.Unlock()
	g.send(chosen, request.encode(), trafficRequest)
	if report, found := g.ownOutcomes(request); found && g.config.Counted != nil {
		g.config.Counted(report)
	}
}

// ownOutcomes returns what this daemon has counted. Only an instance of the target halts.
func (g *Gossiper) ownOutcomes(request outcomesRequest) (comparer.Report, bool) {
	if g.config.Outcomes == nil {
		return comparer.Report{}, false
	}
	return g.config.Outcomes(request.Service, request.Halt && g.config.Self().Version == request.Target)
}

func (g *Gossiper) answerOutcomes(data []byte, from netip.AddrPort) error {
	request, err := decodeOutcomesRequest(data)
	if err != nil {
		return err
	}
	report, found := g.ownOutcomes(request)
	if !found {
		return nil
	}
	answer, err := report.Encode()
	if err != nil {
		return Error.Wrap(err)
	}
	g.traffic.countAnswer(1 + len(answer))
	_, _ = g.conn.WriteToUDPAddrPort(append([]byte{kindOutcomes}, answer...), from) // The next request replaces a lost answer.
	return nil
}

func (g *Gossiper) receiveOutcomes(data []byte) error {
	var report comparer.Report
	if err := json.Unmarshal(data, &report); err != nil {
		return Error.Wrap(err)
	}
	if err := report.Check(); err != nil {
		return Error.Wrap(err)
	}
	g.mu.Lock()
	if g.table.Knows(report.Incarnation) {
		g.outcomes.versions[report.Incarnation] = report.Version
	}
	g.mu.Unlock()
	if g.config.Counted != nil {
		g.config.Counted(report)
	}
	return nil
}
