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

// Attempt is what ingress tells admission about an attempt.
type Attempt struct {
	ID        identifier.AttemptID
	Remaining timer.Millis
	Version   identifier.Version
	Depth     int
	// Solo asks that nothing else runs beside the attempt.
	Solo bool
	// WantLoad asks for the load field in the answer.
	WantLoad bool
	Urgency  Urgency
	// Target names the instance that the attempt is for, if the sender knows it.
	Target identifier.InstanceID
}

// Urgency is how an attempt waits for its start. The zero value waits until its
// deadline and may not be repeated.
type Urgency struct {
	// Priority ranks attempts; 0 is the most urgent.
	Priority int
	// MaxWait bounds the wait for the start. Zero means until the deadline.
	MaxWait timer.Millis
	// TargetRemaining is the time within which the answer has its full value. Zero
	// means that the target has passed or that there is none.
	TargetRemaining timer.Millis
	// Idempotent attempts may be sent on a connection that was idle for longer.
	Idempotent bool
	// Slowdown is how long work takes on the VM, in percent, as the sender
	// assumed when it chose the instance. Admission sends the attempt back if it
	// takes much longer. Zero means that the sender takes it as it is.
	Slowdown int32
}

// maxPriority bounds the ranks of attempts.
const maxPriority = 1 << 20

// String encodes the urgency for a header.
func (u Urgency) String() string {
	buf := strconv.AppendInt(make([]byte, 0, 24), int64(u.Priority), 10)
	buf = append(buf, ' ')
	buf = strconv.AppendInt(buf, int64(u.MaxWait), 10)
	buf = append(buf, ' ')
	buf = strconv.AppendInt(buf, int64(u.Slowdown), 10)
	buf = append(buf, ' ')
	buf = strconv.AppendInt(buf, int64(u.TargetRemaining), 10)
	if u.Idempotent {
		buf = append(buf, " i"...)
	}
	return string(buf)
}

// ParseUrgency reads and checks an urgency as String encodes it.
func ParseUrgency(text string) (Urgency, error) {
	parts := strings.Fields(text)
	if len(parts) < 4 || len(parts) > 5 || len(parts) == 5 && parts[4] != "i" {
		return Urgency{}, Error.New("%s %q has not four or five parts", HeaderUrgency, text)
	}
	priority, err := strconv.Atoi(parts[0])
	if err != nil || priority < 0 || priority > maxPriority {
		return Urgency{}, Error.New("%s %q: priority is not between 0 and %d", HeaderUrgency, text, maxPriority)
	}
	wait, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || wait < 0 || timer.Millis(wait) > timer.Day {
		return Urgency{}, Error.New("%s %q: wait is not a time in ms between 0 and one day", HeaderUrgency, text)
	}
	slowdown, err := strconv.ParseInt(parts[2], 10, 32)
	if err != nil || slowdown < 0 {
		return Urgency{}, Error.New("%s %q: slowdown is not a percentage", HeaderUrgency, text)
	}
	target, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil || target < 0 || timer.Millis(target) > timer.Day {
		return Urgency{}, Error.New("%s %q: target is not a time in ms between 0 and one day", HeaderUrgency, text)
	}
	return Urgency{
		Priority: priority, MaxWait: timer.Millis(wait), Slowdown: int32(slowdown),
		TargetRemaining: timer.Millis(target), Idempotent: len(parts) == 5,
	}, nil
}

// Encode writes the attempt into a request's headers.
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
	if a.Solo {
		header.Set(HeaderSolo, "1")
	}
	if a.WantLoad {
		header.Set(HeaderWantLoad, "1")
	}
}

// Decode reads and checks the headers that Encode writes.
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
		return Error.New("%s %q is not a version", HeaderVersion, header.Peek(HeaderVersion))
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
		Target:   identifier.InstanceID(header.Peek(HeaderTarget)),
		Solo:     len(header.Peek(HeaderSolo)) > 0,
		WantLoad: len(header.Peek(HeaderWantLoad)) > 0,
	}
	return nil
}

// DecodeTimeout reads the time left; found is false if the header is missing.
func DecodeTimeout(header *fasthttp.RequestHeader) (remaining timer.Millis, found bool, err error) {
	text := header.Peek(HeaderTimeout)
	if len(text) == 0 {
		return 0, false, nil
	}
	value, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil || value < 0 || timer.Millis(value) > timer.Day {
		return 0, false, Error.New("%s %q is not a time in ms between 0 and one day", HeaderTimeout, text)
	}
	return timer.Millis(value), true, nil
}

// DecodeDepth reads how deep the call is nested; a missing header means 0.
func DecodeDepth(header *fasthttp.RequestHeader) (int, error) {
	text := header.Peek(HeaderDepth)
	if len(text) == 0 {
		return 0, nil
	}
	depth, err := strconv.Atoi(string(text))
	if err != nil || depth < 0 {
		return 0, Error.New("%s %q is not a depth", HeaderDepth, text)
	}
	return depth, nil
}

// RemoveInternalHeaders deletes the headers that only daemons may set.
func RemoveInternalHeaders(header *fasthttp.RequestHeader) {
	for _, name := range internalHeaders {
		header.Del(name)
	}
}
