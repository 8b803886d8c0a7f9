package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/magnoliaknot/magnoliaknot/platform/standin"
)

const (
	host = standin.Host
	// contactS is the bound of the small deployments.
	contactS = 3 * time.Second
	// crashesKnown is the number of crashes after which the rule binds.
	crashesKnown = 3
	// maxLateRetries is the number of retries that the rule allows after the third crash.
	maxLateRetries = 3
	// crashInterval is the time between two requests of the caller that comes again.
	crashInterval      = 2500 * time.Millisecond
	crashRequests      = 14
	backgroundInterval = 100 * time.Millisecond
	// crashTime is longer than a backend server takes to crash.
	crashTime   = 200 * time.Millisecond
	crashAnswer = "answer"
)

// playCrashInAnswer lets a caller come again with a request that crashes each backend server
// that runs it, after the first part of its answer. The rule allows three retries that
// reach a backend server later than ContactS after the third crash.
func playCrashInAnswer(f *fleet, trouble bool) (string, error) {
	if trouble {
		mode := crashAnswer
		if named := os.Getenv("CRASH"); named != "" {
			mode = named
		}
		crashMode.Store(mode)
		for _, v := range f.vms {
			v.restartBackend()
		}
		time.Sleep(restartDelay + coldTime)
	}
	err := f.configure(standin.Configuration(
		1,
		standin.Route{Name: "orders", Prefix: "/orders/"},
		standin.Route{Name: "lookups", Prefix: "/lookups/", Idempotent: true},
	))
	if err != nil {
		return "", err
	}
	stop := f.background(backgroundInterval)
	for n := range crashRequests {
		f.vms[n%len(f.vms)].call(http.MethodPost, crashPath, "ramp sections")
		time.Sleep(crashInterval)
	}
	stop()
	return f.judgeCrashes(trouble)
}

// judgeCrashes applies the rule on requests that crash backend servers.
func (f *fleet) judgeCrashes(trouble bool) (string, error) {
	runs := f.record.matching(func(a arrival) bool { return a.Target == crashPath })
	served := len(f.record.matching(func(a arrival) bool { return a.Target != crashPath }))
	f.record.note("%d runs of the request for %s, %d of others", len(runs), crashPath, served)
	if served == 0 || len(runs) == 0 {
		return "", fmt.Errorf("no requests were served")
	}
	if !trouble || len(runs) < crashesKnown {
		return "", nil
	}
	bound := runs[crashesKnown-1].At + crashTime + contactS
	late := map[string]bool{}
	for _, a := range runs {
		if a.At > bound {
			late[a.ID] = true
		}
	}
	if len(late) <= maxLateRetries {
		return "", nil
	}
	return fmt.Sprintf(
		"BUDGET: the request crashed %d backend servers; %d retries reached one later than %v after the third crash",
		len(runs), len(late), contactS,
	), nil
}
