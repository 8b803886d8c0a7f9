package answer_test

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/answer"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

var text = rapid.StringMatching(`[a-zA-Z0-9_.:-]{1,20}`)

// Guards against a complete answer that is rejected, and against the acceptance
// of a truncated answer or of an answer to another request or request body.
func TestCheck(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		payload := rapid.SliceOf(rapid.Byte()).Draw(t, "payload")
		size := rapid.IntRange(0, 400).Draw(t, "size")
		own := answer.Answer{
			Request: answer.RequestID(text.Draw(t, "id")), Checksum: answer.Sum(payload),
			Instance: identifier.InstanceID(text.Draw(t, "instance")),
		}
		want := answer.Expected{Request: own.Request, Checksum: own.Checksum, Size: size}
		body := answer.Append(nil, own, size)
		if err := answer.Check(body, want); err != nil || !json.Valid(body) {
			t.Fatalf("answer %s is rejected or not valid JSON: %v", body, err)
		}
		cut := rapid.IntRange(0, len(body)-1).Draw(t, "cut")
		if err := answer.Check(body[:cut], want); !answer.Partial.Has(err) {
			t.Fatalf("truncated answer %s gave %v, want a partial answer", body[:cut], err)
		}
		other := own
		other.Request = answer.RequestID(text.Filter(func(id string) bool { return id != string(own.Request) }).Draw(t, "other id"))
		if err := answer.Check(answer.Append(nil, other, size), want); !answer.Wrong.Has(err) {
			t.Fatalf("answer to another request gave %v, want a wrong answer", err)
		}
		other = own
		other.Checksum++
		if err := answer.Check(answer.Append(nil, other, size), want); !answer.Wrong.Has(err) {
			t.Fatalf("answer to another request body gave %v, want a wrong answer", err)
		}
	})
}
