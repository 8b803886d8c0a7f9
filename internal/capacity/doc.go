// Package capacity contains the benchmarks whose results docs/CAPACITY.md lists.
// It has no other code.
//
// Each benchmark passes synthetic members, changes, claims or messages to the
// real packages at three or more sizes and reports the cost of one of them, so
// that the page can show whether costs grow linearly. Packages that have
// benchmarks of their own are not measured here.
//
// # Usage
//
//	go test ./internal/capacity -run XXX -bench .
//	go test ./internal/capacity -run XXX -bench Lease -benchtime 3x -count 3
package capacity
