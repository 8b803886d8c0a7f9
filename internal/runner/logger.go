package runner

import (
	"fmt"
	"log/slog"
)

// serverLogger writes the messages of the fasthttp servers to the daemon's
// structured log at debug level.
type serverLogger struct{ logger *slog.Logger }

// Printf implements fasthttp.Logger.
func (s serverLogger) Printf(format string, args ...any) {
	s.logger.Debug("server message", "message", fmt.Sprintf(format, args...))
}
