// Package adapter serves the handlers of net/http on the connections of exchanger, so that
// these listeners have the same bounds as those for requests.
//
// # Usage
//
//	handler := adapter.New(mux, adapter.Config{Cost: adapter.MessageCost})
//	server := exchanger.NewServer(exchanger.ServerConfig{Handler: handler, Names: adapter.Names, ...})
package adapter

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
)

const (
	// maxTarget bounds the target of a request, whose query may be split into its parts.
	maxTarget = 2 << 10
	// handlerCost is the memory that a request takes in net/http beside its body.
	handlerCost = 16 << 10
)

// Fields are the headers of requests that handlers can read, beside those of the message.
func Fields() []string {
	return []string{
		fasthttp.HeaderAuthorization, fasthttp.HeaderAccept, fasthttp.HeaderAcceptEncoding, fasthttp.HeaderUserAgent,
		"Connect-Protocol-Version", "Connect-Timeout-Ms", "Connect-Accept-Encoding",
	}
}

// Config configures an Adapter. Zero fields take their default.
type Config struct {
	// Cost returns the memory that a body takes when it is decoded, in bytes. Nil means twice
	// its size.
	Cost func(contentType string, body exchanger.Content) int64
}

// Adapter serves one handler. It is safe for concurrent use if the handler is.
type Adapter struct {
	handler http.Handler
	config  Config
}

// New returns an adapter of a handler.
func New(handler http.Handler, config Config) *Adapter {
	if config.Cost == nil {
		config.Cost = func(_ string, body exchanger.Content) int64 { return 2 * int64(body.Len()) }
	}
	return &Adapter{handler: handler, config: config}
}

// Handle serves one request. It is refused if there is no memory for its body in the form
// that the handler decodes it to, or for the response.
func (a *Adapter) Handle(x *exchanger.Exchange) {
	header := &x.Request.Header
	if len(header.RequestURI()) > maxTarget {
		x.Response.SetStatusCode(http.StatusRequestURITooLong)
		return
	}
	if encoding := string(header.Peek(fasthttp.HeaderContentEncoding)); encoding != "" && encoding != "identity" {
		x.Response.SetStatusCode(http.StatusUnsupportedMediaType)
		return
	}
	if !x.Memory().Grow(handlerCost + a.config.Cost(string(header.ContentType()), x.Request.Body)) {
		x.Response.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	x.OnDisconnect(cancel)
	request, err := newRequest(ctx, x)
	if err != nil {
		x.Response.SetStatusCode(http.StatusBadRequest)
		return
	}
	w := &responseWriter{exchange: x, header: http.Header{}}
	a.handler.ServeHTTP(w, request)
	w.finish()
}

func newRequest(ctx context.Context, x *exchanger.Exchange) (*http.Request, error) {
	h := &x.Request.Header
	target, err := url.ParseRequestURI(string(h.RequestURI()))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	request := &http.Request{
		Method: string(h.Method()), URL: target, RequestURI: string(h.RequestURI()), Host: string(h.Host()),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{},
		Body: io.NopCloser(x.Request.Body.Reader()), ContentLength: int64(x.Request.Body.Len()),
	}
	for name, value := range h.All() {
		request.Header.Add(string(name), string(value))
	}
	return request.WithContext(ctx), nil
}
