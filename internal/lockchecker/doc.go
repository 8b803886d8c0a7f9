// Package lockchecker holds the test of the order in which the program takes its locks.
//
// Two goroutines that take the same two locks in opposite orders can wait for each other
// for ever. The order is the list in docs/design.md, section "Lock order": while a lock
// is held, only locks that come later in the list are taken. The test builds the call
// graph of the whole program, with the calls through interfaces and function values, and
// compares each lock that is taken while another is held with the list. It needs no run
// in which two goroutines meet.
//
// # Usage
//
//	go test ./internal/lockchecker -v // prints the pairs
//
// A new lock gets a line in the list. A pair in the wrong order is mended by calling the
// other component before the lock is taken or after it is released.
package lockchecker
