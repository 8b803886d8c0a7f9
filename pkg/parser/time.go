package parser

import (
	"encoding/json"
	"time"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Time is a Unix time in milliseconds, written as RFC 3339 text in JSON. Zero
// means not set.
type Time timer.Millis

// minTime and maxTime bound the years allowed in a sheet, so that adding a
// duration cannot overflow and mistyped years are rejected.
var (
	minTime = Time(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli())
	maxTime = Time(time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli())
)

// ParseTime reads RFC 3339 text. Fractions below a millisecond are dropped.
func ParseTime(text string) (Time, error) {
	parsed, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, Error.New("time %q is not RFC 3339", text)
	}
	return Time(timer.FromTime(parsed)), nil
}

// Millis converts to Unix milliseconds.
func (t Time) Millis() timer.Millis { return timer.Millis(t) }

// String formats the time as RFC 3339 in UTC.
func (t Time) String() string {
	return time.UnixMilli(int64(t)).UTC().Format(time.RFC3339Nano)
}

// MarshalJSON encodes RFC 3339 text in UTC.
func (t Time) MarshalJSON() ([]byte, error) { return json.Marshal(t.String()) }

// UnmarshalJSON decodes RFC 3339 text.
func (t *Time) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return Error.New("time %s is not text", data)
	}
	parsed, err := ParseTime(text)
	*t = parsed
	return err
}

// DecodeText implements decoder.TextDecoder for RFC 3339 text.
func (t *Time) DecodeText(text string) bool {
	parsed, err := ParseTime(text)
	*t = parsed
	return err == nil && parsed != 0
}

// Kind returns the name of the format for findings.
func (t *Time) Kind() string { return "a time in RFC 3339" }
