package listener

import (
	"fmt"
	"log/slog"
)

// DebugLogger writes the log messages of fasthttp to slog at debug level, since
// fasthttp logs an error for each connection that an injected fault breaks.
type DebugLogger struct {
	Log *slog.Logger
}

// Printf logs a formatted message.
func (q DebugLogger) Printf(format string, args ...any) {
	q.Log.Debug("http server", "message", fmt.Sprintf(format, args...))
}
