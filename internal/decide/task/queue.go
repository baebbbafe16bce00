package task

import "container/list"

// Bands is the number of priority bands; band 0 is served first.
const Bands = 3

// Item is waiting work with what the queue orders by. Tasks is how many tasks
// it stands for; zero means one.
type Item[T any] struct {
	ID    string
	Team  string
	Band  int
	Tasks int
	Value T
}

func (i Item[T]) tasks() int {
	return max(1, i.Tasks)
}

// Queue keeps waiting tasks. Create it with NewQueue.
type Queue[T any] struct {
	bands   [Bands]band[T]
	byID    map[string]position[T]
	perTeam map[string]int
}

type band[T any] struct {
	teams map[string]*list.List
}

type position[T any] struct {
	item    Item[T]
	element *list.Element
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] {
	q := &Queue[T]{
		byID:    map[string]position[T]{},
		perTeam: map[string]int{},
	}
	for b := range q.bands {
		q.bands[b].teams = map[string]*list.List{}
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int {
	return len(q.byID)
}

// Waiting returns the number of the team's waiting tasks.
func (q *Queue[T]) Waiting(team string) int {
	return q.perTeam[team]
}

// Teams returns the teams that have tasks waiting, with their numbers.
func (q *Queue[T]) Teams() map[string]int {
	return q.perTeam
}

// Push adds the task behind its team's others, or before them when front is
// set; a task whose id waits already is ignored.
func (q *Queue[T]) Push(item Item[T], front bool) {
	if _, ok := q.byID[item.ID]; ok {
		return
	}
	teams := q.bands[item.Band].teams
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
	q.perTeam[item.Team] += item.tasks()
}

// Remove takes the task out and reports whether it waited.
func (q *Queue[T]) Remove(id string) bool {
	p, ok := q.byID[id]
	if !ok {
		return false
	}
	delete(q.byID, id)
	teams := q.bands[p.item.Band].teams
	teams[p.item.Team].Remove(p.element)
	if teams[p.item.Team].Len() == 0 {
		delete(teams, p.item.Team)
	}
	q.perTeam[p.item.Team] -= p.item.tasks()
	if q.perTeam[p.item.Team] == 0 {
		delete(q.perTeam, p.item.Team)
	}
	return true
}

// Resize sets how many tasks the waiting item stands for, and reports whether
// it waits.
func (q *Queue[T]) Resize(id string, tasks int) bool {
	p, ok := q.byID[id]
	if !ok {
		return false
	}
	q.perTeam[p.item.Team] += max(1, tasks) - p.item.tasks()
	p.item.Tasks = tasks
	p.element.Value = p.item
	q.byID[id] = p
	return true
}

// Tasks returns the number of tasks that wait.
func (q *Queue[T]) Tasks() int {
	sum := 0
	for _, tasks := range q.perTeam {
		sum += tasks
	}
	return sum
}

// LeastUrgent returns the last task of the least urgent band, of the team with
// most tasks in it, as the one to shed; ok is false when none waits in a band
// behind the given one.
func (q *Queue[T]) LeastUrgent(before int) (item Item[T], ok bool) {
	for b := Bands - 1; b > before; b-- {
		var longest *list.List
		for _, waiting := range q.bands[b].teams {
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

// Next offers the head task of each team, band by band and in a band the team
// of lowest weight first, until take accepts one; it removes and returns that
// one. When take refuses a task, its team's later tasks of the band are passed
// over in this call.
func (q *Queue[T]) Next(weight func(team string) float64, take func(Item[T]) bool) (item Item[T], ok bool) {
	for b := range q.bands {
		refused := map[string]bool{}
		for {
			head, found := q.lightest(b, weight, refused)
			if !found {
				break
			}
			if take(head) {
				q.Remove(head.ID)
				return head, true
			}
			refused[head.Team] = true
		}
	}
	return item, false
}

func (q *Queue[T]) lightest(b int, weight func(string) float64, refused map[string]bool) (Item[T], bool) {
	var best *list.List
	var bestTeam string
	var bestWeight float64
	for team, waiting := range q.bands[b].teams {
		if refused[team] {
			continue
		}
		w := weight(team)
		if best == nil || w < bestWeight || (w == bestWeight && team < bestTeam) {
			best = waiting
			bestTeam = team
			bestWeight = w
		}
	}
	if best == nil {
		return Item[T]{}, false
	}
	return best.Front().Value.(Item[T]), true
}
