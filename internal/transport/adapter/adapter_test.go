package adapter_test

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/separator"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/adapter"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// serve serves a handler with a bound of its memory and returns its URL.
func serve(t *testing.T, handler http.Handler, memory *exchanger.Memory) string {
	t.Helper()
	server := exchanger.NewServer(exchanger.ServerConfig{
		Handler: adapter.New(handler, adapter.Config{Cost: adapter.MessageCost}),
		Names:   separator.NewNames(adapter.Fields(), nil), Memory: memory, Clock: timer.NewSystem(), Logger: slog.New(slog.DiscardHandler),
		Reject: func(x *exchanger.Exchange, _ exchanger.Problem) {
			x.Response.SetStatusCode(http.StatusServiceUnavailable)
		},
		Limits: func() exchanger.Limits {
			return exchanger.Limits{HeaderBytes: 16 << 10, BodyBytes: 8 << 20, HeaderTimeout: timer.Minute, IdleTimeout: timer.Minute}
		},
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	return "http://" + listener.Addr().String()
}

// Guards against requests and responses that are changed between a connection and a handler.
func TestHandle(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Answer", r.Method+" "+r.URL.Path+" "+r.URL.Query().Get("q")+" "+r.Host+" "+r.Header.Get("Authorization"))
		w.WriteHeader(http.StatusAccepted)
		_, _ = w.Write(body)
	})
	memory := exchanger.NewMemory(64 << 20)
	url := serve(t, handler, memory)
	for _, size := range []int{0, 10, 3 << 20} {
		want := strings.Repeat("x", size)
		request, err := http.NewRequest(http.MethodPost, url+"/path?q=1", strings.NewReader(want))
		if err != nil {
			t.Fatal(err)
		}
		request.Host = "name"
		request.Header.Set("Authorization", "Bearer k")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || string(body) != want || response.StatusCode != http.StatusAccepted || response.Header.Get("X-Answer") != "POST /path 1 name Bearer k" {
			t.Errorf("body of %d bytes: error %v, status %d, %q, %d bytes", size, err, response.StatusCode, response.Header.Get("X-Answer"), len(body))
		}
	}
	http.DefaultClient.CloseIdleConnections()
	end := time.Now().Add(5 * time.Second)
	for memory.Used() != 0 && time.Now().Before(end) {
		time.Sleep(time.Millisecond)
	}
	if used := memory.Used(); used != 0 {
		t.Errorf("%d bytes are reserved after the responses", used)
	}
}

// Guards against a response that takes more memory than there is, and against one that looks
// whole and is not.
func TestLargeResponse(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range 64 {
			if _, err := w.Write(make([]byte, 1<<20)); err != nil {
				return
			}
		}
	})
	response, err := http.Get(serve(t, handler, exchanger.NewMemory(16<<20)) + "/")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d", response.StatusCode)
	}
}

// Guards against compressed requests, whose size is known only when they are decoded, and
// against long targets, whose parts take many times their bytes.
func TestRefusedRequests(t *testing.T) {
	handled := false
	url := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled = true }), exchanger.NewMemory(16<<20))
	for _, c := range []struct {
		name, target, encoding string
		body                   int
		status                 int
	}{
		{"compressed", "/", "gzip", 1, http.StatusUnsupportedMediaType},
		{"long target", "/?" + strings.Repeat("a&", 2000), "", 0, http.StatusRequestURITooLong},
		{"many fields", "/", "", 1 << 20, http.StatusServiceUnavailable},
	} {
		request, err := http.NewRequest(http.MethodPost, url+c.target, bytes.NewReader(bytes.Repeat([]byte{','}, c.body)))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Content-Encoding", c.encoding)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != c.status || handled {
			t.Errorf("%s: status %d, handled %v", c.name, response.StatusCode, handled)
		}
	}
}

// Guards against messages whose parts take more memory than is counted.
func TestMessageCost(t *testing.T) {
	const parts = 10_000
	handover := &peerv1.HandoverRequest{}
	promise := &peerv1.PromiseRequest{}
	announce := &peerv1.AnnounceRequest{}
	for range parts {
		handover.Claims = append(handover.Claims, &peerv1.HandoverClaim{})
		promise.Shards = append(promise.Shards, &peerv1.ShardEpoch{})
		announce.Records = append(announce.Records, []byte{})
	}
	for _, message := range []proto.Message{handover, promise, announce} {
		data, err := proto.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		decoded := message.ProtoReflect().New().Interface()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		if err := proto.Unmarshal(data, decoded); err != nil {
			t.Fatal(err)
		}
		runtime.ReadMemStats(&after)
		taken, cost := int64(after.TotalAlloc-before.TotalAlloc), adapter.MessageCost("application/proto", exchanger.NewContent(data))
		if taken > cost {
			t.Errorf("%T of %d bytes takes %d bytes, %d are counted", message, len(data), taken, cost)
		}
	}
}
