package dispatcher

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func (plainDialect) SetTarget(*fasthttp.RequestHeader, identifier.BackendID, timer.Millis) {}
func (plainDialect) MatchesRequest(*fasthttp.ResponseHeader, []byte) bool                  { return true }

func (plainDialect) Classify(*fasthttp.Response) Verdict { return Genuine }

func (plainDialect) Load(*fasthttp.ResponseHeader) (BackendLoad, bool) { return BackendLoad{}, false }

// attemptOf returns an attempt to read a path.
func attemptOf(sequence uint64, path string) *Run {
	request := &fasthttp.Request{}
	request.Header.SetMethod(fasthttp.MethodGet)
	request.Header.SetHost("shop.example")
	request.SetRequestURI(path)
	request.Header.SetRequestURI(path)
	attempt := encoder.Attempt{ID: identifier.AttemptID{Origin: 7, Sequence: sequence}, Target: "own", Remaining: timer.Second, Version: 1}
	attempt.Urgency.MaxWait = timer.Second
	return NewRun(attempt, request, &fasthttp.Response{})
}

// Guards against a request that stays suspect after it ran alone and did no harm:
// every daemon of the service would let it run only alone until its period ends.
func TestSoloRunClearsSuspect(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {}))
	defer server.Close()
	a := newAdmission(new([]identifier.Incarnation))
	a.config.Address = identifier.Address(server.Listener.Addr().(*net.TCPAddr).String())
	a.pool = NewPeers().Pool(a.config.Address)
	var spread []quarantiner.Entry
	a.config.BroadcastQuarantine = func(entries []quarantiner.Entry) { spread = append(spread, entries...) }
	a.config.Configuration.Adopt((&router.Snapshot{Version: 1}).Index())
	a.Announce(Backend{ID: "b-1", Incarnation: 1, Slots: 4, State: admitter.Ready})

	const path = "/suspect"
	fingerprint := identifier.NewFingerprint(fasthttp.MethodGet, path, nil)
	suspected := a.config.Clock.Wall() + timer.Minute
	a.AddQuarantineEntries([]quarantiner.Entry{{Fingerprint: fingerprint, Kind: quarantiner.Suspect, Expires: suspected}})
	run := attemptOf(1, path)
	if refusal, answered := a.Execute(run); !answered {
		t.Fatalf("not answered: %v", refusal)
	}
	if len(spread) != 1 || spread[0].Kind != quarantiner.Cleared || spread[0].Fingerprint != fingerprint || spread[0].Expires < suspected {
		t.Fatalf("spread %v after a good run alone", spread)
	}
	if verdict, _ := a.quarantiner.Verdict(a.config.Clock.Wall(), fingerprint); verdict != quarantiner.Run {
		t.Fatalf("verdict %v after a good run alone", verdict)
	}
}
