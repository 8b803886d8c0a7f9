package attacker

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"

	"golang.org/x/sys/unix"
)

// Program is a process to start.
type Program struct {
	Path      string
	Arguments []string
	// Log receives the output.
	Log string
	// Descriptors is the limit of open files; 0 leaves that of this process.
	Descriptors uint64
}

// Process is a running program. Signals are sent only to processes of this package.
type Process struct {
	command *exec.Cmd
	ended   chan struct{}
	// log is the path of the file with its output.
	log string
}

// Start starts a program. It is killed when this process ends.
func Start(program Program) (*Process, error) {
	log, err := os.OpenFile(program.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer log.Close()
	p := &Process{command: exec.Command(program.Path, program.Arguments...), ended: make(chan struct{}), log: program.Log}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = p.command.Start(); err != nil {
		return nil, Error.Wrap(err)
	}
	go func() {
		_ = p.command.Wait() // How it ended stands in its log.
		close(p.ended)
	}()
	if program.Descriptors > 0 {
		limit := unix.Rlimit{Cur: program.Descriptors, Max: program.Descriptors}
		if err = unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
			p.Kill()
			return nil, Error.Wrap(err)
		}
	}
	return p, nil
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // Fails if it has ended.
	<-p.ended
}

// peakMemory returns the largest resident memory of the process so far, in bytes.
func (p *Process) peakMemory() (int64, error) { return PeakMemory(p.command.Process.Pid) }

// PeakMemory returns the largest resident memory of a process so far, in bytes.
func PeakMemory(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	for scanner := bufio.NewScanner(bytes.NewReader(status)); scanner.Scan(); {
		if value, found := strings.CutPrefix(scanner.Text(), "VmHWM:"); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(value, "kB")), 10, 64)
			return kilobytes << 10, Error.Wrap(err)
		}
	}
	return 0, Error.New("the process has no peak memory; it may have ended")
}

// logEnd returns the end of the output.
func (p *Process) logEnd() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-logEndBytes):])
}

// logEndBytes is enough for the reason of an end.
const logEndBytes = 1000

// descriptors returns the number of open files of the process.
func (p *Process) descriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	return len(entries), Error.Wrap(err)
}
