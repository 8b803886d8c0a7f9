package receiver

import (
	"bufio"
	"bytes"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// noOwnerRetryAfter is about the time a takeover of a shard takes.
const noOwnerRetryAfter = 1000 * timer.Millis(1)

// Claimer asks the owner of a key for the right to run a request.
type Claimer interface {
	// Claim returns the owner's verdict and a stored answer, or ok false if no
	// owner could be reached before the deadline; the request then must not run.
	Claim(deadline timer.Millis, request deduplicator.Request) (verdict deduplicator.Verdict, answer []byte, ok bool)
	// Settle reports how the request of a granted claim ended.
	Settle(request deduplicator.Request, outcome deduplicator.Outcome, answer []byte)
}

// serveKeyed runs a request with an idempotency key at most once.
func (i *Ingress) serveKeyed(x *exchanger.Exchange, r *request) {
	header := &x.Request.Header
	claim := deduplicator.Request{
		Key:         deduplicator.Key{Service: r.service.Name, Key: r.key},
		Fingerprint: identifier.NewFingerprint(string(header.Method()), string(header.RequestURI()), x.Request.Body...),
		Token:       i.newToken(),
		Window:      r.service.DeduplicationWindow,
	}
	verdict, storedAnswer, ok := i.config.Claimer.Claim(r.deadline, claim)
	if !ok {
		i.refuse(x, r.service.Name, encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.OwnerUnavailable, RetryAfterMs: noOwnerRetryAfter})
		return
	}
	if verdict == deduplicator.Granted {
		i.runClaimed(x, r, claim)
		return
	}
	if verdict == deduplicator.Done && i.replay(x, r, storedAnswer) {
		return
	}
	i.refuse(x, r.service.Name, refusalOfVerdict(verdict))
}

func (i *Ingress) newToken() deduplicator.Token {
	return deduplicator.Token(strconv.FormatUint(uint64(i.config.Incarnation), 36) + "-" + strconv.FormatUint(i.sequence.Add(1), 36))
}

func (i *Ingress) runClaimed(x *exchanger.Exchange, r *request, claim deduplicator.Request) {
	res := i.run(x, r)
	switch {
	case res.response != nil:
		answer := encodeAnswer(res.response)
		go i.config.Claimer.Settle(claim, deduplicator.OutcomeComplete, answer)
	case res.refusal.Outcome == encoder.NotRun:
		// Settle before answering, since the caller may then resend the key.
		i.config.Claimer.Settle(claim, deduplicator.OutcomeNotRun, nil)
	default:
		go i.config.Claimer.Settle(claim, deduplicator.OutcomeUnknown, nil)
	}
	i.answer(x, r, res)
}

func refusalOfVerdict(verdict deduplicator.Verdict) encoder.Refusal {
	switch verdict {
	case deduplicator.Mismatch:
		return encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.KeyMismatch}
	case deduplicator.Done:
		return encoder.Refusal{Outcome: encoder.Unknown, Reason: classifier.KeyAlreadyRun}
	case deduplicator.OwnerLost:
		return encoder.Refusal{Outcome: encoder.Unknown, Reason: classifier.OwnerLost}
	case deduplicator.Full:
		return encoder.Refusal{Outcome: encoder.NotRun, Reason: classifier.OwnerUnavailable, RetryAfterMs: noOwnerRetryAfter}
	case deduplicator.InProgress, deduplicator.Granted:
	}
	return encoder.Refusal{Outcome: encoder.Unknown, Reason: classifier.KeyInProgress}
}

// encodeAnswer returns an answer in its wire format, or nil if it is too large to
// store.
func encodeAnswer(response *fasthttp.Response) []byte {
	if len(response.Body()) > deduplicator.MaxAnswerBytes {
		return nil
	}
	var buf bytes.Buffer
	w := bufio.NewWriter(&buf)
	if response.Write(w) != nil || w.Flush() != nil || buf.Len() > deduplicator.MaxAnswerBytes {
		return nil
	}
	return buf.Bytes()
}

// replay answers a repeated request with the stored answer of its complete run.
func (i *Ingress) replay(x *exchanger.Exchange, r *request, storedAnswer []byte) bool {
	if len(storedAnswer) == 0 {
		return false
	}
	response := &fasthttp.Response{}
	if err := response.Read(bufio.NewReader(bytes.NewReader(storedAnswer))); err != nil {
		return false
	}
	i.answer(x, r, result{response: response})
	x.Response.Header.Set(encoder.HeaderReplayed, "true")
	return true
}
