package assembler

import (
	"reflect"
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
)

// Guards against a configuration of another daemon with one wrong byte that is adopted.
func TestSpoiledSnapshot(t *testing.T) {
	snapshot := &router.Snapshot{Version: 7, Offset: 12, Routes: []router.Route{
		{Name: "read", Host: "shop.example", PathPrefix: "/read/", WeightedServices: []router.WeightedService{{Service: "orders", Weight: 1}}, MaxAttempts: 2},
	}}
	var cache configurationCache
	data, err := cache.encode(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	if decoded, err := decodeSnapshot(data); err != nil || !reflect.DeepEqual(decoded, snapshot) {
		t.Fatalf("decoded as %+v, error %v", decoded, err)
	}
	for at := range data {
		for bit := range 8 {
			spoiled := append([]byte(nil), data...)
			spoiled[at] ^= 1 << bit
			if decoded, err := decodeSnapshot(spoiled); err == nil && !reflect.DeepEqual(decoded, snapshot) {
				t.Errorf("bit %d of byte %d: decoded as %+v", bit, at, decoded)
			}
		}
		if _, err := decodeSnapshot(data[:at]); err == nil {
			t.Errorf("decoded from %d of %d bytes", at, len(data))
		}
	}
}
