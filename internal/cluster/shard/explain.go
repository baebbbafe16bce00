package shard

import (
	"fmt"

	"github.com/citronbay/citronbay/internal/decide/job"
)

// Explain describes the state of the job and why its tasks wait, one fact per line. If
// there is no such job, the only line says so.
func (s *Shard) Explain(id string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.state.Job(id)
	if j == nil {
		return []string{"no such job"}
	}
	now := s.now()
	queue := s.agreement.Rules.Queues[j.Queue]
	lines := []string{fmt.Sprintf("job %s of team %s in queue %s: %s, submitted %d ms ago, due in %d ms, over its team's rate: %v",
		j.ID, j.Team, j.Queue, j.Outcome, now-j.SubmittedMillis, j.DueMillis(queue)-now, j.OverRate)}
	team := s.agreement.Rules.Teams[j.Team]
	lines = append(lines, fmt.Sprintf("team %s uses %d of %d millicores (0: no cap)",
		j.Team, s.state.TeamUsed(j.Team).MilliCores, team.Cap.MilliCores))
	for _, r := range s.evacuations.List() {
		lines = append(lines, fmt.Sprintf("failure domain %s is evacuated: nothing starts on its %d workers", r.Domain, s.countWorkersIn(r.Domain)))
	}
	planner := job.NewPlanner(s.state, s.agreement.Rules, s.plannerWorkers(), now)
	for _, step := range j.Steps {
		lines = append(lines, planner.Explain(step, now)...)
	}
	return lines
}
