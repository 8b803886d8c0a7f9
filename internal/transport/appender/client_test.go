package appender_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestAppender(t *testing.T) { tester.RunSpecs(t, "appender") }

// serve responds to each request on a loopback socket with reply, or closes the
// connection after reading the request if reply is nil. It counts requests.
func serve(reply func(*http.Request) (int, string)) (string, *atomic.Int64) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		requests.Add(1)
		if reply == nil {
			panic(http.ErrAbortHandler)
		}
		status, text := reply(r)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	}))
	DeferCleanup(server.Close)
	return server.URL, &requests
}

func client(url string) *appender.Client {
	return appender.NewClient(appender.Config{BaseURL: url, MaxPayload: 100, MaxAnswer: 400})
}

var _ = Describe("the client", func() {
	It("guards against an append that is retried by the HTTP library", func() {
		url, requests := serve(nil)
		_, err := client(url).Append(context.Background(), appender.Configuration, []byte("a"))
		Expect(appender.Error.Has(err)).To(BeTrue())
		Expect(appender.Refused.Has(err)).To(BeFalse())
		Expect(requests.Load()).To(BeEquivalentTo(1))
	})

	It("guards against a read that is retried by the HTTP library", func() {
		url, requests := serve(nil)
		_, err := client(url).Read(context.Background(), appender.Configuration, 0, 10, 0)
		Expect(appender.Error.Has(err)).To(BeTrue())
		Expect(requests.Load()).To(BeEquivalentTo(1))
	})

	statuses := []struct {
		status  int
		refused bool
	}{{429, true}, {400, true}, {500, false}, {503, false}, {404, false}, {202, false}}
	for _, c := range statuses {
		It(fmt.Sprintf("guards against a wrong error class for status %d", c.status), func() {
			url, _ := serve(func(*http.Request) (int, string) { return c.status, "{}" })
			_, err := client(url).Append(context.Background(), appender.Membership, []byte("a"))
			Expect(appender.Refused.Has(err)).To(Equal(c.refused))
			Expect(appender.Error.Has(err)).To(Equal(!c.refused))
		})
	}

	answers := []struct {
		name, body string
		valid      bool
	}{
		{"a record", `{"records":[{"offset":3,"payload":"YQ=="}],"first":1,"next":4}`, true},
		{"a gap at the start", `{"records":[{"offset":4,"payload":"YQ=="}],"first":1,"next":5}`, false},
		{"a record past next", `{"records":[{"offset":3,"payload":"YQ=="}],"first":1,"next":3}`, false},
		{"a missing next", `{"records":[],"first":1}`, false},
		{"a truncated response", `{"records":[{"offset":3,`, false},
	}
	for _, c := range answers {
		It("guards against a wrong check of a response with "+c.name, func() {
			url, _ := serve(func(*http.Request) (int, string) { return 200, c.body })
			batch, err := client(url).Read(context.Background(), appender.Membership, 3, 10, 0)
			Expect(err == nil).To(Equal(c.valid))
			if c.valid {
				Expect(batch.Records).To(Equal([]appender.Record{{Offset: 3, Payload: []byte("a")}}))
			}
		})
	}

	It("guards against expired records being read as an empty stream", func() {
		url, _ := serve(func(*http.Request) (int, string) { return 410, `{"first":7,"next":9}` })
		_, err := client(url).Read(context.Background(), appender.Membership, 3, 10, 0)
		var expired *appender.ExpiredError
		Expect(errors.As(err, &expired)).To(BeTrue())
		Expect(*expired).To(Equal(appender.ExpiredError{First: 7, Next: 9}))
	})

	It("guards against large records that block a reader permanently", func() {
		url, _ := serve(func(r *http.Request) (int, string) {
			if r.URL.Query().Get("limit") != "1" {
				return 200, strings.Repeat("x", 500)
			}
			return 200, `{"records":[{"offset":0,"payload":"YQ=="}],"first":0,"next":9}`
		})
		batch, err := client(url).Read(context.Background(), appender.Membership, 0, 64, timer.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.Records).To(HaveLen(1))
	})

	It("guards against sending an oversized payload or an append whose context has ended", func() {
		url, requests := serve(func(*http.Request) (int, string) { return 200, `{"offset":0}` })
		_, err := client(url).Append(context.Background(), appender.Membership, make([]byte, 101))
		Expect(appender.Refused.Has(err)).To(BeTrue())
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = client(url).Append(ended, appender.Membership, []byte("a"))
		Expect(appender.Refused.Has(err)).To(BeTrue())
		Expect(requests.Load()).To(BeEquivalentTo(0))
	})

	It("guards against a caller that waits for an unresponsive log after it was cancelled", func() {
		ctx, cancel := context.WithCancel(context.Background())
		release := make(chan struct{})
		url, _ := serve(func(*http.Request) (int, string) { cancel(); <-release; return 200, `{"offset":0}` })
		DeferCleanup(func() { close(release) })
		_, err := client(url).Append(ctx, appender.Membership, []byte("a"))
		Expect(appender.Error.Has(err)).To(BeTrue())
		Expect(appender.Refused.Has(err)).To(BeFalse())
	})
})
