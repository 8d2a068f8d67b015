package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process is a child process. Its output is appended to a log file.
type Process struct {
	Name    string
	LogPath string
	Output  *os.File // of the next start, instead of the log file; may be nil

	mu     sync.Mutex
	args   []string
	env    []string
	cmd    *exec.Cmd
	exited chan struct{}
	status error
}

// spawnThread runs functions on one OS thread that never exits. The kernel
// sends Pdeathsig when the thread that forked the child exits, which may
// happen to any other thread while this process runs on.
var spawnThread = sync.OnceValue(func() chan func() {
	calls := make(chan func())
	go func() {
		runtime.LockOSThread()
		for fn := range calls {
			fn()
		}
	}()
	return calls
})

// startProcess starts a program whose first argument is its path.
func startProcess(name, dir string, args, env []string) (*Process, error) {
	p := &Process{Name: name, LogPath: filepath.Join(dir, name+".log"), args: args, env: env}
	return p, p.Start()
}

// Start starts the process, for the first time or after it has ended.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && !isClosed(p.exited) {
		return errors.Newf("start %s: still running", p.Name)
	}
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrapf(err, "start %s: log", p.Name)
	}
	defer log.Close()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stdout, cmd.Stderr = log, log
	if p.Output != nil {
		cmd.Stdout, cmd.Stderr = p.Output, p.Output
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	spawnThread() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	p.cmd, p.exited, p.status = cmd, make(chan struct{}), nil
	go p.wait(cmd, p.exited)
	return nil
}

func (p *Process) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.status = err
	p.mu.Unlock()
	close(exited)
}

// PID returns the process id of the running or last process.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool { return !isClosed(p.Exited()) }

// Exited returns a channel that is closed when the current process ends.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// Status returns the exit error of an ended process, nil for status 0.
func (p *Process) Status() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status
}

// Signal sends a signal to the process, if it has not ended.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isClosed(p.exited) {
		return nil
	}
	err := p.cmd.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return errors.Wrapf(err, "signal %s to %s", sig, p.Name)
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.Exited()
	return nil
}

// Pause stops the process with SIGSTOP until Resume.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, and SIGKILL after the timeout. It reports whether
// the process ended without the SIGKILL.
func (p *Process) Terminate(timeout time.Duration) (bool, error) {
	if err := p.Signal(syscall.SIGCONT); err != nil {
		return false, err
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	select {
	case <-p.Exited():
		return true, nil
	case <-time.After(timeout):
		return false, p.Kill()
	}
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// LogTail returns the last bytes of the process's log, for error messages.
func (p *Process) LogTail(limit int) string {
	raw, err := os.ReadFile(p.LogPath)
	if err != nil {
		return err.Error()
	}
	return string(raw[max(0, len(raw)-limit):])
}
