package encoder

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Error is the class of decoding errors.
var Error = errs.Class("header")

// MaxHeadFactor is how much larger the head of an attempt may be than that of a request:
// daemons add fields and end each line in a carriage return.
const MaxHeadFactor = 2

// Attempt is the metadata of an attempt that ingress sends to admission.
type Attempt struct {
	ID        identifier.AttemptID
	Remaining timer.Millis
	Version   identifier.Version
	Depth     int
	// Solo requests that nothing else runs while the attempt runs.
	Solo bool
	// WantLoad requests the load header in the response.
	WantLoad bool
	Urgency  Urgency
	// Target is the instance that the attempt is for, if the sender knows it.
	Target identifier.InstanceID
	// TargetVersion is the version that the sender chose in a roll-out of the service.
	TargetVersion identifier.ServiceVersion
}

// Urgency controls how an attempt waits for its start. With the zero value it waits
// until its deadline and is not idempotent.
type Urgency struct {
	// Priority ranks attempts; 0 is the most urgent.
	Priority int
	// MaxWait bounds the wait for the start. Zero means until the deadline.
	MaxWait timer.Millis
	// TargetRemaining is the time left until the target latency, within which the
	// response has its full value. Zero means that the target has passed or that
	// there is none.
	TargetRemaining timer.Millis
	// Idempotent means that the attempt may be sent on a connection that was idle
	// for longer.
	Idempotent bool
	// Slowdown is the duration of work on the VM, in percent of the usual, that the
	// sender assumed when it chose the instance. Admission returns the attempt if
	// work takes much longer. Zero means that the sender accepts any slowdown.
	Slowdown int32
	// Nested means that the attempt is a call of running work. Earlier daemons refuse
	// an urgency with Nested or Account, so senders set both only where the
	// configuration holds accounts.
	Nested bool
	// Account identifies the client account; 0 means none.
	Account uint32
}

const (
	// maxPriority bounds the priority of attempts.
	maxPriority = 1 << 20
	// maxUrgencyBytes is more than an encoded urgency has.
	maxUrgencyBytes = 128
)

// String encodes the urgency as a header value.
func (u Urgency) String() string {
	buf := strconv.AppendInt(make([]byte, 0, 40), int64(u.Priority), 10)
	buf = append(buf, ' ')
	buf = strconv.AppendInt(buf, int64(u.MaxWait), 10)
	buf = append(buf, ' ')
	buf = strconv.AppendInt(buf, int64(u.Slowdown), 10)
	buf = append(buf, ' ')
	buf = strconv.AppendInt(buf, int64(u.TargetRemaining), 10)
	if u.Idempotent {
		buf = append(buf, " i"...)
	}
	if u.Nested {
		buf = append(buf, " n"...)
	}
	if u.Account != 0 {
		buf = append(buf, " a"...)
		buf = strconv.AppendUint(buf, uint64(u.Account), 10)
	}
	return string(buf)
}

// ParseUrgency parses and validates an urgency encoded by String.
func ParseUrgency(text string) (Urgency, error) {
	if len(text) > maxUrgencyBytes {
		return Urgency{}, Error.New("%s has %d bytes", HeaderUrgency, len(text))
	}
	parts := strings.Fields(text)
	if len(parts) < 4 {
		return Urgency{}, Error.New("%s %.40q has less than four parts", HeaderUrgency, text)
	}
	priority, err := strconv.Atoi(parts[0])
	if err != nil || priority < 0 || priority > maxPriority {
		return Urgency{}, Error.New("%s %.40q: priority is not between 0 and %d", HeaderUrgency, text, maxPriority)
	}
	wait, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || wait < 0 || timer.Millis(wait) > timer.Day {
		return Urgency{}, Error.New("%s %.40q: wait is not a time in ms between 0 and one day", HeaderUrgency, text)
	}
	slowdown, err := strconv.ParseInt(parts[2], 10, 32)
	if err != nil || slowdown < 0 {
		return Urgency{}, Error.New("%s %.40q: slowdown is not a percentage", HeaderUrgency, text)
	}
	target, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil || target < 0 || timer.Millis(target) > timer.Day {
		return Urgency{}, Error.New("%s %.40q: target is not a time in ms between 0 and one day", HeaderUrgency, text)
	}
	u := Urgency{
		Priority: priority, MaxWait: timer.Millis(wait), Slowdown: int32(slowdown), TargetRemaining: timer.Millis(target),
	}
	if !u.parseOptional(parts[4:]) {
		return Urgency{}, Error.New("%s %.40q: the parts after the fourth are not i, n and a with an account, in this order", HeaderUrgency, text)
	}
	return u, nil
}

// parseOptional parses the parts that String leaves out when they are zero. Each may
// occur once and in the order of String.
func (u *Urgency) parseOptional(parts []string) bool {
	if len(parts) > 0 && parts[0] == "i" {
		u.Idempotent, parts = true, parts[1:]
	}
	if len(parts) > 0 && parts[0] == "n" {
		u.Nested, parts = true, parts[1:]
	}
	if len(parts) == 0 {
		return true
	}
	digits, found := strings.CutPrefix(parts[0], "a")
	account, err := strconv.ParseUint(digits, 10, 32)
	u.Account = uint32(account)
	return len(parts) == 1 && found && err == nil && account > 0
}

// Encode sets the headers of an attempt on a request.
func (a Attempt) Encode(header *fasthttp.RequestHeader) {
	header.Set(HeaderAttempt, a.ID.String())
	header.Set(HeaderTimeout, strconv.FormatInt(int64(a.Remaining), 10))
	header.Set(HeaderVersion, strconv.FormatUint(uint64(a.Version), 10))
	header.Set(HeaderDepth, strconv.Itoa(a.Depth))
	if a.Urgency != (Urgency{}) {
		header.Set(HeaderUrgency, a.Urgency.String())
	}
	if a.Target != "" {
		header.Set(HeaderTarget, string(a.Target))
	}
	if a.TargetVersion != "" {
		header.Set(HeaderTargetVersion, string(a.TargetVersion))
	}
	if a.Solo {
		header.Set(HeaderSolo, "1")
	}
	if a.WantLoad {
		header.Set(HeaderWantLoad, "1")
	}
}

// Decode parses and validates the headers that Encode sets.
func (a *Attempt) Decode(header *fasthttp.RequestHeader) error {
	id, err := identifier.ParseAttemptID(string(header.Peek(HeaderAttempt)))
	if err != nil {
		return Error.Wrap(err)
	}
	remaining, found, err := DecodeTimeout(header)
	if err != nil {
		return err
	}
	if !found {
		return Error.New("%s is missing", HeaderTimeout)
	}
	version, err := strconv.ParseUint(string(header.Peek(HeaderVersion)), 10, 64)
	if err != nil {
		return Error.New("%s %.40q is not a version", HeaderVersion, header.Peek(HeaderVersion))
	}
	depth, err := DecodeDepth(header)
	if err != nil {
		return err
	}
	var urgency Urgency
	if text := header.Peek(HeaderUrgency); len(text) > 0 {
		if urgency, err = ParseUrgency(string(text)); err != nil {
			return err
		}
	}
	*a = Attempt{
		ID: id, Remaining: remaining, Version: identifier.Version(version), Depth: depth, Urgency: urgency,
		Target:        identifier.InstanceID(header.Peek(HeaderTarget)),
		TargetVersion: identifier.ServiceVersion(header.Peek(HeaderTargetVersion)),
		Solo:          len(header.Peek(HeaderSolo)) > 0,
		WantLoad:      len(header.Peek(HeaderWantLoad)) > 0,
	}
	return nil
}

// DecodeTimeout parses the remaining time; found is false if the header is missing.
func DecodeTimeout(header *fasthttp.RequestHeader) (remaining timer.Millis, found bool, err error) {
	text := header.Peek(HeaderTimeout)
	if len(text) == 0 {
		return 0, false, nil
	}
	value, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil || value < 0 || timer.Millis(value) > timer.Day {
		return 0, false, Error.New("%s %.40q is not a time in ms between 0 and one day", HeaderTimeout, text)
	}
	return timer.Millis(value), true, nil
}

// DecodeDepth parses the nesting depth of the call; a missing header means 0.
func DecodeDepth(header *fasthttp.RequestHeader) (int, error) {
	text := header.Peek(HeaderDepth)
	if len(text) == 0 {
		return 0, nil
	}
	depth, err := strconv.Atoi(string(text))
	if err != nil || depth < 0 {
		return 0, Error.New("%s %.40q is not a depth", HeaderDepth, text)
	}
	return depth, nil
}

// RemoveInternalHeaders deletes the headers that only daemons may set.
func RemoveInternalHeaders(header *fasthttp.RequestHeader) {
	for _, name := range internalHeaders {
		header.Del(name)
	}
}

// ownResponseHeaders are set only by daemons. From a backend server, they would be
// taken for a refusal or a load of the daemon beside it.
var ownResponseHeaders = []string{HeaderOutcome, HeaderReason, HeaderRetryAfterMs, HeaderLoad, HeaderAttempt}

// RemoveOwnHeaders removes the headers of daemons from the answer of a backend server.
func RemoveOwnHeaders(header *fasthttp.ResponseHeader) {
	for _, name := range ownResponseHeaders {
		header.Del(name)
	}
}
