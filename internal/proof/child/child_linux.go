package child

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// starter is the thread that starts all processes: the system kills them when it ends, not when this process
// does, so it must not be one that the runtime may end.
var starter = sync.OnceValue(func() chan<- func() {
	starts := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
	return starts
})

// Start starts the command as a process that is killed when this one ends, however it does: one that is left
// goes on calling the addresses of its test, which may be those of another test by then. It returns the
// error of command.Start.
func Start(command *exec.Cmd) error {
	if command.SysProcAttr == nil {
		command.SysProcAttr = &syscall.SysProcAttr{}
	}
	command.SysProcAttr.Pdeathsig = syscall.SIGKILL
	err := make(chan error)
	starter() <- func() { err <- command.Start() }
	return <-err
}

// childStopped is the code CLD_STOPPED of waitid(2).
const childStopped = 5

// Stop sends SIGSTOP to the child process and returns once all its threads have stopped: until then it may
// still answer a call. It returns an error if the process has ended.
func Stop(p *os.Process) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return fmt.Errorf("child: stop process %d: %w", p.Pid, err)
	}
	for {
		// WNOWAIT leaves an exit status to Wait.
		var info unix.Siginfo
		err := unix.Waitid(unix.P_PID, p.Pid, &info, unix.WSTOPPED|unix.WEXITED|unix.WNOWAIT, nil)
		switch {
		case errors.Is(err, unix.EINTR):
		case err != nil:
			return fmt.Errorf("child: await the stop of process %d: %w", p.Pid, err)
		case info.Code != childStopped:
			return fmt.Errorf("child: stop process %d: %w", p.Pid, os.ErrProcessDone)
		default:
			return nil
		}
	}
}

// Continue lets a process go on that Stop has stopped. It returns an error if the process has ended.
func Continue(p *os.Process) error {
	if err := p.Signal(syscall.SIGCONT); err != nil {
		return fmt.Errorf("child: continue process %d: %w", p.Pid, err)
	}
	return nil
}
