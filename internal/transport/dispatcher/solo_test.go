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
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func (plainDialect) EndToEnd() []string { return nil }

func (plainDialect) SetTarget(*fasthttp.RequestHeader, identifier.BackendID, timer.Millis) {}
func (plainDialect) MatchesRequest(*fasthttp.ResponseHeader, []byte, bool) bool            { return true }

func (plainDialect) Classify(*fasthttp.Response) Verdict { return Genuine }

func (plainDialect) Notice(*fasthttp.ResponseHeader) Notice { return Notice{} }

func (plainDialect) Load(*fasthttp.ResponseHeader) (BackendLoad, bool) { return BackendLoad{}, false }

// newReadRun returns an attempt to read a path.
func newReadRun(sequence uint64, path string) *Run {
	request := &exchanger.Request{}
	request.Header.SetMethod(fasthttp.MethodGet)
	request.Header.SetHost("shop.example")
	request.Header.SetRequestURI(path)
	attempt := encoder.Attempt{ID: identifier.AttemptID{Origin: 7, Sequence: sequence}, Target: "own", Remaining: timer.Second, Version: 1}
	attempt.Urgency.MaxWait = timer.Second
	return NewRun(attempt, request, &fasthttp.Response{})
}

// Guards against a request that stays suspect after it ran alone without a crash:
// every daemon of the service would run it only alone until its entry expires.
func TestSoloRunClearsSuspect(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {}))
	defer server.Close()
	a := newAdmission(new([]identifier.Incarnation))
	a.config.Address = identifier.Address(server.Listener.Addr().(*net.TCPAddr).String())
	a.pool = NewPeers(nil, nil).Pool(a.config.Address)
	var sentEntries []quarantiner.Entry
	a.config.BroadcastQuarantine = func(entries []quarantiner.Entry) { sentEntries = append(sentEntries, entries...) }
	a.config.Configuration.Adopt((&router.Snapshot{Version: 1}).Index())
	a.Announce(Backend{ID: "b-1", Incarnation: 1, Slots: 4, State: admitter.Ready})

	const path = "/suspect"
	fingerprint := identifier.NewFingerprint(fasthttp.MethodGet, path, nil)
	expires := a.config.Clock.Wall() + timer.Minute
	a.AddQuarantineEntries([]quarantiner.Entry{{Fingerprint: fingerprint, Kind: quarantiner.Suspect, Expires: expires}})
	run := newReadRun(1, path)
	if refusal, answered := a.Execute(run); !answered {
		t.Fatalf("not answered: %v", refusal)
	}
	if len(sentEntries) != 1 || sentEntries[0].Kind != quarantiner.Cleared || sentEntries[0].Fingerprint != fingerprint || sentEntries[0].Expires < expires {
		t.Fatalf("sent entries %v after a good solo run", sentEntries)
	}
	if verdict, _ := a.quarantiner.Verdict(a.config.Clock.Wall(), fingerprint); verdict != quarantiner.Run {
		t.Fatalf("verdict %v after a good solo run", verdict)
	}
}
