package pause

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// countsEnvironment makes this test's binary a process that counts in many threads.
const countsEnvironment = "CITRONBAY_TEST_COUNTS"

func TestMain(m *testing.M) {
	if os.Getenv(countsEnvironment) != "" {
		count()
	}
	os.Exit(m.Run())
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
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), countsEnvironment+"=1", "GOMAXPROCS=16")
	out, err := command.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, command.Start())
	defer func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	}()
	_, err = bufio.NewReader(out).ReadString('\n')
	assert.NilError(t, err)
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
	assert.NilError(t, command.Start())
	_, err = io.Copy(io.Discard, out) // until it exits
	assert.NilError(t, err)
	for Stop(command.Process) == nil {
		assert.NilError(t, Continue(command.Process))
	}
	assert.ErrorIs(t, Stop(command.Process), os.ErrProcessDone)
	assert.NilError(t, command.Wait())
	assert.ErrorIs(t, Stop(command.Process), os.ErrProcessDone)
}
