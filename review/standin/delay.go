package main

import (
	"io"
	"net"
	"time"
)

// sendLate sends the next heartbeat through a proxy that holds it up. The instance gets no
// acknowledgement in time and gives up, and the heartbeat arrives late.
func (i *instance) sendLate(delay time.Duration) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	heartbeat := i.heartbeat()
	i.record.printf("the last heartbeat of %s is sent and held up on its way", i.id)
	go i.postTo(listener.Addr().String(), "heartbeat", heartbeat)
	conn, err := listener.Accept()
	_ = listener.Close()
	if err != nil {
		return err
	}
	go i.passOn(conn, delay)
	return nil
}

// passOn passes on what was sent on a connection after a delay.
func (i *instance) passOn(conn net.Conn, delay time.Duration) {
	defer conn.Close()
	arrives := time.Now().Add(delay)
	data, _ := io.ReadAll(conn) // Ends when the instance has given up.
	time.Sleep(time.Until(arrives))
	to, err := net.DialTimeout("tcp4", i.control, time.Second)
	if err != nil {
		i.record.printf("the late heartbeat of %s is lost: %v", i.id, err)
		return
	}
	defer to.Close()
	_ = to.SetDeadline(time.Now().Add(time.Second)) // Fails only on a closed connection.
	if _, err := to.Write(data); err != nil {
		i.record.printf("the late heartbeat of %s is lost: %v", i.id, err)
		return
	}
	head := make([]byte, len("HTTP/1.1 200"))
	_, _ = io.ReadFull(to, head) // Only recorded.
	i.record.printf("the late heartbeat of %s arrives, answer %q", i.id, head)
}
