package encoder

import (
	"strconv"

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
}

// Encode writes the attempt into a request's headers.
func (a Attempt) Encode(header *fasthttp.RequestHeader) {
	header.Set(HeaderAttempt, a.ID.String())
	header.Set(HeaderTimeout, strconv.FormatInt(int64(a.Remaining), 10))
	header.Set(HeaderVersion, strconv.FormatUint(uint64(a.Version), 10))
	header.Set(HeaderDepth, strconv.Itoa(a.Depth))
	if a.Solo {
		header.Set(HeaderSolo, "1")
	}
	if a.WantLoad {
		header.Set(HeaderWant, "1")
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
	*a = Attempt{
		ID: id, Remaining: remaining, Version: identifier.Version(version), Depth: depth,
		Solo:     len(header.Peek(HeaderSolo)) > 0,
		WantLoad: len(header.Peek(HeaderWant)) > 0,
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

// RemoveInternal deletes the headers that only daemons may set.
func RemoveInternal(header *fasthttp.RequestHeader) {
	for _, name := range internalHeaders {
		header.Del(name)
	}
}
