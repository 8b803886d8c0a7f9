// Package capacity holds the benchmarks behind docs/CAPACITY.md. It has no code
// of its own.
//
// Each benchmark puts synthetic members, changes, claims or messages into the
// real packages at three or more sizes and reports the cost of one of them, so
// that the page can tell a straight line from one that bends. Packages that
// have a benchmark of their own are not measured again here.
//
// # Usage
//
//	go test ./internal/capacity -run XXX -bench .
//	go test ./internal/capacity -run XXX -bench Lease -benchtime 3x -count 3
package capacity
