package exchanger

import "net"

// DoOn performs a call on an open connection.
func DoOn(conn net.Conn, call *Call) Result {
	pool := NewPool(PoolConfig{MaxIdle: 1, IdleTimeout: call.MaxReuseIdle})
	pool.idle = []*connection{newConnection(conn)}
	return pool.Do(call)
}
