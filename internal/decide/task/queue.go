package task

import "container/list"

// PriorityClasses is the number of priority classes; class 0 is served first.
const PriorityClasses = 3

// Item is an entry of the queue. Several waiting tasks of one job may share an
// item.
type Item[T any] struct {
	ID   string
	Team string
	// PriorityClass is from 0 (most urgent) to PriorityClasses-1.
	PriorityClass int
	// Tasks is the number of tasks that the item represents; less than one counts as one.
	Tasks int
	Value T
}

func (i Item[T]) taskCount() int {
	return max(1, i.Tasks)
}

// Queue holds waiting items. Use NewQueue to create one.
type Queue[T any] struct {
	classes     [PriorityClasses]priorityClass[T]
	byID        map[string]position[T]
	tasksByTeam map[string]int
}

type priorityClass[T any] struct {
	teams map[string]*list.List
}

type position[T any] struct {
	item    Item[T]
	element *list.Element
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] {
	q := &Queue[T]{
		byID:        map[string]position[T]{},
		tasksByTeam: map[string]int{},
	}
	for c := range q.classes {
		q.classes[c].teams = map[string]*list.List{}
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int {
	return len(q.byID)
}

// Waiting returns the number of the team's waiting tasks, counting each task of
// an item.
func (q *Queue[T]) Waiting(team string) int {
	return q.tasksByTeam[team]
}

// TasksByTeam returns the number of waiting tasks by team. The map is the queue's
// own and must not be modified.
func (q *Queue[T]) TasksByTeam() map[string]int {
	return q.tasksByTeam
}

// Push adds the item behind its team's other items of the same priority class, or
// before them if front is true. An item whose ID is already queued is ignored.
func (q *Queue[T]) Push(item Item[T], front bool) {
	if _, ok := q.byID[item.ID]; ok {
		return
	}
	teams := q.classes[item.PriorityClass].teams
	waiting, ok := teams[item.Team]
	if !ok {
		waiting = list.New()
		teams[item.Team] = waiting
	}
	p := position[T]{item: item}
	if front {
		p.element = waiting.PushFront(item)
	} else {
		p.element = waiting.PushBack(item)
	}
	q.byID[item.ID] = p
	q.tasksByTeam[item.Team] += item.taskCount()
}

// Remove removes the item and reports whether it was queued.
func (q *Queue[T]) Remove(id string) bool {
	p, ok := q.byID[id]
	if !ok {
		return false
	}
	delete(q.byID, id)
	teams := q.classes[p.item.PriorityClass].teams
	teams[p.item.Team].Remove(p.element)
	if teams[p.item.Team].Len() == 0 {
		delete(teams, p.item.Team)
	}
	q.tasksByTeam[p.item.Team] -= p.item.taskCount()
	if q.tasksByTeam[p.item.Team] == 0 {
		delete(q.tasksByTeam, p.item.Team)
	}
	return true
}

// Resize sets Item.Tasks of the queued item with the ID; its place in the queue stays.
// It reports whether there is such an item.
func (q *Queue[T]) Resize(id string, tasks int) bool {
	p, ok := q.byID[id]
	if !ok {
		return false
	}
	q.tasksByTeam[p.item.Team] += max(1, tasks) - p.item.taskCount()
	p.item.Tasks = tasks
	p.element.Value = p.item
	q.byID[id] = p
	return true
}

// Tasks returns the number of waiting tasks of all teams.
func (q *Queue[T]) Tasks() int {
	sum := 0
	for _, tasks := range q.tasksByTeam {
		sum += tasks
	}
	return sum
}

// LeastUrgent returns the item to shed when the queue is full: in the least
// urgent non-empty class, the last item of the team with the most items there.
// Only classes less urgent than the given one are considered; ok is false if
// they are empty. The item stays in the queue.
func (q *Queue[T]) LeastUrgent(class int) (item Item[T], ok bool) {
	for c := PriorityClasses - 1; c > class; c-- {
		var longest *list.List
		for _, waiting := range q.classes[c].teams {
			if longest == nil || waiting.Len() > longest.Len() {
				longest = waiting
			}
		}
		if longest != nil {
			return longest.Back().Value.(Item[T]), true
		}
	}
	return item, false
}

// Next calls accept with the first item of each team, in order of priority class
// and, within a class, of ascending weighted share, then of team name. It removes and
// returns the first item accepted; ok is false if none is. After a rejection, the
// team's other items of that class are skipped in this call.
func (q *Queue[T]) Next(weightedShare func(team string) float64, accept func(Item[T]) bool) (item Item[T], ok bool) {
	for c := range q.classes {
		rejected := map[string]bool{}
		for {
			head, found := q.lowestShareHead(c, weightedShare, rejected)
			if !found {
				break
			}
			if accept(head) {
				q.Remove(head.ID)
				return head, true
			}
			rejected[head.Team] = true
		}
	}
	return item, false
}

func (q *Queue[T]) lowestShareHead(class int, weightedShare func(string) float64, rejected map[string]bool) (Item[T], bool) {
	var best *list.List
	var bestTeam string
	var bestShare float64
	for team, waiting := range q.classes[class].teams {
		if rejected[team] {
			continue
		}
		share := weightedShare(team)
		if best == nil || share < bestShare || (share == bestShare && team < bestTeam) {
			best = waiting
			bestTeam = team
			bestShare = share
		}
	}
	if best == nil {
		return Item[T]{}, false
	}
	return best.Front().Value.(Item[T]), true
}
