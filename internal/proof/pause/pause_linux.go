package pause

import (
	"errors"
	"fmt"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// childStopped is the code CLD_STOPPED of waitid(2).
const childStopped = 5

// Stop sends SIGSTOP to the child process and returns once all its threads have stopped: until then it may
// still answer a call. It returns an error if the process has ended.
func Stop(p *os.Process) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return fmt.Errorf("pause: stop process %d: %w", p.Pid, err)
	}
	for {
		// WNOWAIT leaves an exit status to Wait.
		var info unix.Siginfo
		err := unix.Waitid(unix.P_PID, p.Pid, &info, unix.WSTOPPED|unix.WEXITED|unix.WNOWAIT, nil)
		switch {
		case errors.Is(err, unix.EINTR):
		case err != nil:
			return fmt.Errorf("pause: await the stop of process %d: %w", p.Pid, err)
		case info.Code != childStopped:
			return fmt.Errorf("pause: stop process %d: %w", p.Pid, os.ErrProcessDone)
		default:
			return nil
		}
	}
}

// Continue lets a process go on that Stop has stopped. It returns an error if the process has ended.
func Continue(p *os.Process) error {
	if err := p.Signal(syscall.SIGCONT); err != nil {
		return fmt.Errorf("pause: continue process %d: %w", p.Pid, err)
	}
	return nil
}
