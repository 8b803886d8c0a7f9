package exchanger

import "net"

// DoOn performs a call on an open connection.
func DoOn(conn net.Conn, call *Call) Result {
	pool := NewPool(PoolConfig{MaxIdle: 1, IdleTimeout: call.MaxReuseIdle})
	pool.open++
	pool.idle = []*connection{newConnection(conn, nil, pool.giveSocketBack)}
	return pool.Do(call)
}
