package job

// groupKey is what the jobs of a group have in common.
type groupKey struct {
	team, queue string
	overRate    bool
}

// Group is the open jobs of a team in a queue, within the team's rate or over it. Its sums let
// admission leave out the jobs that have nothing to place.
type Group struct {
	Team, Queue string
	OverRate    bool
	// Jobs, Steps and Tasks are the numbers of the open jobs and their steps and tasks, and
	// PayloadBytes is the total length of the payloads.
	Jobs, Steps, Tasks, PayloadBytes int

	number int
}

// Number returns the group's index in State.Groups, which changes as other groups come and go.
func (g *Group) Number() int {
	return g.number
}

func (g *Group) key() groupKey {
	return groupKey{
		team:     g.Team,
		queue:    g.Queue,
		overRate: g.OverRate,
	}
}

// add adds the job's size, times sign.
func (g *Group) add(j *Job, sign int) {
	g.Jobs += sign
	g.PayloadBytes += sign * len(j.Payload)
	g.Steps += sign * len(j.Steps)
	for _, step := range j.Steps {
		g.Tasks += sign * len(step.Tasks)
	}
}

// Group returns the job's group, which is the same for all jobs of the group; nil once the job has ended.
func (j *Job) Group() *Group {
	return j.group
}

// Groups returns the groups that have open jobs; callers must not modify the list.
func (s *State) Groups() []*Group {
	return s.groups
}

// addOpen adds the job to the open jobs.
func (s *State) addOpen(j *Job) {
	s.open[j.ID] = j
	key := groupKey{
		team:     j.Team,
		queue:    j.Queue,
		overRate: j.OverRate,
	}
	g := s.groupByKey[key]
	if g == nil {
		g = &Group{
			Team:     j.Team,
			Queue:    j.Queue,
			OverRate: j.OverRate,
			number:   len(s.groups),
		}
		s.groupByKey[key] = g
		s.groups = append(s.groups, g)
	}
	j.group = g
	g.add(j, 1)
}

// removeOpen removes the job from the open jobs, if it is one of them.
func (s *State) removeOpen(id string) {
	j := s.open[id]
	if j == nil {
		return
	}
	delete(s.open, id)
	g := j.group
	j.group = nil
	g.add(j, -1)
	if g.Jobs > 0 {
		return
	}
	delete(s.groupByKey, g.key())
	last := s.groups[len(s.groups)-1]
	s.groups[g.number], last.number = last, g.number
	s.groups = s.groups[:len(s.groups)-1]
}
