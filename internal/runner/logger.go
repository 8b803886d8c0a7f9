package runner

import (
	"fmt"
	"log/slog"
)

// serverLogger passes the messages of the HTTP servers on as JSON lines.
type serverLogger struct{ logger *slog.Logger }

// Printf logs a message of a server.
func (s serverLogger) Printf(format string, args ...any) {
	s.logger.Debug("server message", "message", fmt.Sprintf(format, args...))
}
