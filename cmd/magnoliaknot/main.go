// Command magnoliaknot is the daemon beside each backend server and the
// operators' command line.
//
// # Usage
//
//	magnoliaknot daemon --settings FILE
//	magnoliaknot sheet check FILE
package main

func main() {}
