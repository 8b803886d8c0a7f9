package appender

import (
	"context"
	"errors"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Client is a Log that uses HTTP and JSON. It sends each request once and
// never retries an append. It is safe for concurrent use.
type Client struct {
	config Config
	http   *fasthttp.Client
}

var _ Log = (*Client)(nil)

// NewClient returns a client. It opens no connection.
func NewClient(config Config) *Client {
	config = config.withDefaults()
	config.BaseURL = strings.TrimRight(config.BaseURL, "/")
	return &Client{config: config, http: newHTTPClient(config)}
}

// Append adds a record. An error of class Refused means that nothing was
// appended; after any other error the record may be in the log.
func (c *Client) Append(ctx context.Context, stream Stream, payload []byte) (identifier.Offset, error) {
	if len(payload) > c.config.MaxPayload {
		return 0, Refused.New("payload of %d bytes is over the limit of %d", len(payload), c.config.MaxPayload)
	}
	if err := ctx.Err(); err != nil {
		return 0, Refused.New("not sent: %w", err)
	}
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/octet-stream")
	req.SetRequestURI(c.recordsURL(stream))
	req.SetBody(payload)
	status, body, err := c.send(ctx, req, c.config.Timeout)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	if status != fasthttp.StatusOK {
		return 0, statusError(status)
	}
	return decodeAppend(body)
}

// Read returns up to limit records from an offset on, and waits up to wait for
// the first. If the response is over the size limit it retries with a lower limit,
// so that consecutive large records cannot block a reader permanently.
func (c *Client) Read(ctx context.Context, stream Stream, from identifier.Offset, limit int, wait timer.Millis) (Batch, error) {
	limit = min(max(limit, 1), maxRecords)
	wait = min(max(wait, 0), c.config.MaxWait)
	for {
		batch, err := c.readOnce(ctx, stream, from, limit, wait)
		if limit == 1 || !errors.Is(err, fasthttp.ErrBodyTooLarge) {
			return batch, err
		}
		limit = max(limit/4, 1)
	}
}

func (c *Client) readOnce(ctx context.Context, stream Stream, from identifier.Offset, limit int, wait timer.Millis) (Batch, error) {
	if err := ctx.Err(); err != nil {
		return Batch{}, Error.Wrap(err)
	}
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(fasthttp.MethodGet)
	req.SetRequestURI(c.recordsURL(stream))
	args := req.URI().QueryArgs()
	args.Set("from", strconv.FormatUint(uint64(from), 10))
	args.Set("limit", strconv.Itoa(limit))
	args.Set("wait_ms", strconv.FormatInt(int64(wait), 10))
	status, body, err := c.send(ctx, req, c.config.Timeout+wait)
	if err != nil {
		return Batch{}, Error.Wrap(err)
	}
	switch status {
	case fasthttp.StatusOK:
		return decodeBatch(body, from)
	case fasthttp.StatusGone:
		return Batch{}, decodeExpired(body)
	default:
		return Batch{}, statusError(status)
	}
}

type response struct {
	status int
	body   []byte
	err    error
}

// send runs one request until its deadline or the end of ctx. The goroutine owns
// the request and the response and ends by the deadline, so a caller that returns
// early never shares a buffer with it.
func (c *Client) send(ctx context.Context, req *fasthttp.Request, timeout timer.Millis) (int, []byte, error) {
	deadline := time.Now().Add(timeout.Duration())
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	done := make(chan response, 1)
	go func() {
		res := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(res)
		err := c.http.DoDeadline(req, res, deadline)
		done <- response{status: res.StatusCode(), body: append([]byte(nil), res.Body()...), err: err}
	}()
	select {
	case a := <-done:
		return a.status, a.body, a.err
	case <-ctx.Done():
		return 0, nil, ctx.Err()
	}
}

func (c *Client) recordsURL(stream Stream) string {
	return c.config.BaseURL + "/streams/" + url.PathEscape(string(stream)) + "/records"
}

// statusError distinguishes a definite refusal from a response after which an
// append may have taken effect.
func statusError(status int) error {
	if status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusBadRequest {
		return Refused.New("status %d", status)
	}
	return Error.New("status %d", status)
}
