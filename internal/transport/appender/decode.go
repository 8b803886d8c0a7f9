package appender

import (
	"encoding/json"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

type appendResponse struct {
	Offset *identifier.Offset `json:"offset"`
}

type recordResponse struct {
	Offset  identifier.Offset `json:"offset"`
	Payload []byte            `json:"payload"`
}

type readResponse struct {
	Records []recordResponse   `json:"records"`
	First   *identifier.Offset `json:"first"`
	Next    *identifier.Offset `json:"next"`
}

func decodeAppend(body []byte) (identifier.Offset, error) {
	var a appendResponse
	if err := json.Unmarshal(body, &a); err != nil {
		return 0, Error.Wrap(err)
	}
	if a.Offset == nil {
		return 0, Error.New("response to an append has no offset")
	}
	return *a.Offset, nil
}

// decodeBatch decodes the response to a read and checks that its records are
// consecutive from the requested offset, since the reducers of the streams rely on
// records without gaps.
func decodeBatch(body []byte, from identifier.Offset) (Batch, error) {
	var a readResponse
	if err := json.Unmarshal(body, &a); err != nil {
		return Batch{}, Error.Wrap(err)
	}
	if a.First == nil || a.Next == nil || *a.First > *a.Next {
		return Batch{}, Error.New("response to a read has no valid first and next")
	}
	batch := Batch{First: *a.First, Next: *a.Next, Records: make([]Record, 0, len(a.Records))}
	for i, r := range a.Records {
		if want := from + identifier.Offset(i); r.Offset != want || r.Offset >= batch.Next {
			return Batch{}, Error.New("record has offset %d, expected %d, next %d", r.Offset, want, batch.Next)
		}
		batch.Records = append(batch.Records, Record(r))
	}
	return batch, nil
}

func decodeExpired(body []byte) error {
	var a readResponse
	if err := json.Unmarshal(body, &a); err != nil {
		return Error.Wrap(err)
	}
	if a.First == nil || a.Next == nil || *a.First > *a.Next {
		return Error.New("response for expired records has no valid first and next")
	}
	return &ExpiredError{First: *a.First, Next: *a.Next}
}
