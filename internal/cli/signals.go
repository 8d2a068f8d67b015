package cli

import (
	"context"
	"os/signal"
	"syscall"
)

// untilStopped returns a context of a process that serves until SIGINT or SIGTERM. From
// then on neither SIGHUP nor the end of the reader of its log lines, SIGPIPE, ends the
// process, which would cut its open requests. A command that reloads its settings on
// SIGHUP asks for the signal.
func untilStopped(ctx context.Context) (context.Context, context.CancelFunc) {
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	return signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
}
