package listener

import (
	"fmt"
	"log/slog"
)

// DebugLogger passes the messages of fasthttp to slog at debug level. Faults
// break many connections on purpose, and each would log an error.
type DebugLogger struct {
	Log *slog.Logger
}

// Printf logs a formatted message.
func (q DebugLogger) Printf(format string, args ...any) {
	q.Log.Debug("http server", "message", fmt.Sprintf(format, args...))
}
