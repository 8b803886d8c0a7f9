package main

import (
	"fmt"
	"time"
)

const (
	// foreignSequence is the sequence number in the heartbeat of another writer.
	foreignSequence = 1000
	// drainsFor is how long the instance serves after its draining was acknowledged.
	drainsFor = 6 * time.Second
)

// runForeign shows whether a heartbeat of another writer, without the field born, is left
// out. If it is taken for one of the instance, the instance's own heartbeats have a lower
// sequence number from then on.
func runForeign(e environment) error {
	f, err := startFleet(e, smallFleet, configuration(1))
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return err
	}
	leaving := f.vms[0].instance
	l := startLoad(e.record, f.vms[2:], loadInterval)
	defer l.end()
	time.Sleep(warmTime)
	if len(leaving.ran()) == 0 {
		return fmt.Errorf("the instance got no request before its leave")
	}
	if e.trouble {
		e.record.printf("the next heartbeat is of another writer")
		leaving.post("heartbeat", map[string]any{
			"Address": leaving.address,
			"Info":    map[string]any{"Service": leaving.service, "Version": "v1", "Zone": leaving.zone, "Concurrency": slots},
			"Status":  map[string]any{"State": "ready", "Sequence": foreignSequence, "WarmupLeftS": 0},
		})
	}
	time.Sleep(contactTime)
	if status := leaving.setDraining(); status != 200 {
		return fmt.Errorf("the leave was answered %d", status)
	}
	acknowledged := time.Now()
	e.record.printf("the draining of %s is acknowledged", leaving.id)
	time.Sleep(drainsFor)
	leaving.stopHeartbeats()
	leaving.deregister()
	leaving.exit()
	e.record.printf("instance %s exits", leaving.id)
	return drained(e.record, leaving, acknowledged.Add(drainTime))
}
