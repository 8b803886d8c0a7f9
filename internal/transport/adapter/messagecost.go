package adapter

import (
	"strings"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
)

// fieldCost is more than the memory that a decoded field or nested message takes beside its
// bytes.
const fieldCost = 256

// MessageCost returns the memory that a message of Protocol Buffers takes when it is decoded,
// in bytes. The messages of this project have no repeated fields within repeated ones.
func MessageCost(contentType string, body exchanger.Content) int64 {
	size := 2 * int64(body.Len())
	if strings.HasSuffix(contentType, "proto") {
		return size + fieldCost*int64(fieldCount(body.Bytes()))
	}
	return size + fieldCost*int64(textFieldCount(body))
}

// fieldCount returns the number of fields of a message. What follows an invalid field is not
// decoded.
func fieldCount(data []byte) int {
	count := 0
	for len(data) > 0 {
		_, _, size := protowire.ConsumeField(data)
		if size < 0 {
			break
		}
		count++
		data = data[size:]
	}
	return count
}

// textFieldCount returns the number of bytes that may begin a value in a message as text.
func textFieldCount(body exchanger.Content) int {
	count := 0
	for _, segment := range body {
		for _, b := range segment {
			if b == ',' || b == '{' || b == '[' {
				count++
			}
		}
	}
	return count
}
