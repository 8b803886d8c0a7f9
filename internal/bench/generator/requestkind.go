package generator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// KeyKind says which Idempotency-Key a request carries.
type KeyKind string

// Values of KeyKind.
const (
	KeyNone   KeyKind = "none"
	KeyUUIDv7 KeyKind = "uuidv7"
	KeyRandom KeyKind = "random"
)

const (
	maxBodyBytes   = 4 << 20
	maxAnswerBytes = 16 << 20
)

// RequestKind describes one kind of request in a plan.
type RequestKind struct {
	Name        string                 `json:"name"`
	Weight      float64                `json:"weight"`
	Method      string                 `json:"method"`
	Path        string                 `json:"path"`
	Host        string                 `json:"host,omitempty"`
	Service     identifier.ServiceName `json:"service,omitempty"`
	Key         KeyKind                `json:"key,omitempty"`
	BodyBytes   int                    `json:"body_bytes,omitempty"`
	FixedBody   bool                   `json:"fixed_body,omitempty"` // all requests have the same body
	AnswerBytes int                    `json:"answer_bytes,omitempty"`
	TimeoutMs   timer.Millis           `json:"timeout_ms"`
	// MayRepeat is the rule of the configuration sheet for this kind. Without it,
	// GET, HEAD and OPTIONS without a key may run more than once.
	MayRepeat *bool `json:"idempotent,omitempty"`
}

// Idempotent reports whether a request of this kind may run more than once.
func (k RequestKind) Idempotent() bool {
	if k.MayRepeat != nil {
		return *k.MayRepeat
	}
	switch k.Method {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions:
		return k.Key == KeyNone || k.Key == ""
	}
	return false
}

// Check adds a finding for each bad value.
func (k RequestKind) Check(place string, findings *reporter.Findings) {
	if k.Name == "" {
		findings.Add(place+".name", k.Name, "is empty")
	}
	if !(k.Weight > 0) {
		findings.Add(place+".weight", k.Weight, "must be positive")
	}
	if k.Method == "" {
		findings.Add(place+".method", k.Method, "is empty")
	}
	if !strings.HasPrefix(k.Path, "/") {
		findings.Add(place+".path", k.Path, "must start with /")
	}
	switch k.Key {
	case "", KeyNone, KeyUUIDv7, KeyRandom:
	default:
		findings.Add(place+".key", k.Key, "must be none, uuidv7 or random")
	}
	if k.BodyBytes < 0 || k.BodyBytes > maxBodyBytes {
		findings.Add(place+".body_bytes", k.BodyBytes, fmt.Sprintf("must be 0 to %d", maxBodyBytes))
	}
	if k.AnswerBytes < 0 || k.AnswerBytes > maxAnswerBytes {
		findings.Add(place+".answer_bytes", k.AnswerBytes, fmt.Sprintf("must be 0 to %d", maxAnswerBytes))
	}
	if k.TimeoutMs <= 0 {
		findings.Add(place+".timeout_ms", k.TimeoutMs, "must be positive")
	}
}

// ParsePlan decodes a JSON list of request kinds. Unknown fields are rejected.
func ParsePlan(text []byte) ([]RequestKind, error) {
	var plan []RequestKind
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&plan); err != nil {
		return nil, Error.Wrap(err)
	}
	return plan, CheckPlan(plan)
}

// CheckPlan returns an error that lists all findings of a plan.
func CheckPlan(plan []RequestKind) error {
	var findings reporter.Findings
	if len(plan) == 0 {
		findings.Add("plan", len(plan), "is empty")
	}
	names := make(map[string]bool)
	for i, kind := range plan {
		place := fmt.Sprintf("plan[%d]", i)
		kind.Check(place, &findings)
		if names[kind.Name] {
			findings.Add(place+".name", kind.Name, "is used twice")
		}
		names[kind.Name] = true
	}
	return findings.Err()
}
