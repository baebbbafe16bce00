package child

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// roleEnvironment makes this test's binary another process: one that counts in many threads, or one that
// starts such a process and waits.
const roleEnvironment = "CITRONBAY_TEST_ROLE"

func TestMain(m *testing.M) {
	switch os.Getenv(roleEnvironment) {
	case "counter":
		count()
	case "parent":
		command := self("counter")
		if err := Start(command); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println(command.Process.Pid)
		select {}
	}
	os.Exit(m.Run())
}

// self returns a command that runs this test's binary in the role.
func self(role string) *exec.Cmd {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), roleEnvironment+"="+role, "GOMAXPROCS=16")
	return command
}

// startSelf starts this test's binary in the role and returns the first line that it prints.
func startSelf(t *testing.T, role string) (*exec.Cmd, string) {
	t.Helper()
	command := self(role)
	out, err := command.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, Start(command))
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(t, err)
	return command, strings.TrimSpace(line)
}

// TestChildEndsWithItsParent kills a process that has started another.
func TestChildEndsWithItsParent(t *testing.T) {
	parent, line := startSelf(t, "parent")
	pid, err := strconv.Atoi(line)
	assert.NilError(t, err, line)
	assert.Assert(t, isAlive(pid))
	assert.NilError(t, parent.Process.Kill())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if isAlive(pid) {
			return poll.Continue("process %d is alive", pid)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
}

// isAlive reports whether the process exists and is no zombie.
func isAlive(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, afterName, _ := strings.Cut(string(text), ") ")
	return err == nil && !strings.HasPrefix(afterName, "Z")
}

func count() {
	for range 16 {
		go func() {
			for n := 0; ; n++ {
				_ = n
			}
		}()
	}
	fmt.Println("counting")
	select {}
}

// TestStopAwaitsAllThreads checks that no thread of a busy process runs once Stop has returned.
func TestStopAwaitsAllThreads(t *testing.T) {
	command, _ := startSelf(t, "counter")
	for range 100 {
		assert.NilError(t, Stop(command.Process))
		states := threadStates(t, command.Process.Pid)
		assert.Equal(t, states, strings.Repeat("T", len(states)))
		assert.NilError(t, Continue(command.Process))
	}
}

// threadStates returns one letter for the state of each thread of the process.
func threadStates(t *testing.T, pid int) string {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 1)
	states := ""
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		_, afterName, found := strings.Cut(string(text), ") ")
		assert.Assert(t, found)
		states += afterName[:1]
	}
	return states
}

// TestStopOfEndedProcess checks that Stop does not wait for a process that has ended, and leaves its exit
// status to Wait.
func TestStopOfEndedProcess(t *testing.T) {
	command := exec.Command(os.Args[0], "-test.run=^$")
	out, err := command.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, Start(command))
	_, err = io.Copy(io.Discard, out) // until it exits
	assert.NilError(t, err)
	for Stop(command.Process) == nil {
		assert.NilError(t, Continue(command.Process))
	}
	assert.ErrorIs(t, Stop(command.Process), os.ErrProcessDone)
	assert.NilError(t, command.Wait())
	assert.ErrorIs(t, Stop(command.Process), os.ErrProcessDone)
}
