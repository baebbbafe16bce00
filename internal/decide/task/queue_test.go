package task

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// queueModel is a reference model of Queue: one slice in order of arrival.
type queueModel struct {
	items []Item[int]
}

func (m *queueModel) push(item Item[int], front bool) {
	if slices.ContainsFunc(m.items, func(o Item[int]) bool { return o.ID == item.ID }) {
		return
	}
	if front {
		m.items = slices.Insert(m.items, 0, item)
		return
	}
	m.items = append(m.items, item)
}

func (m *queueModel) remove(id string) bool {
	before := len(m.items)
	m.items = slices.DeleteFunc(m.items, func(o Item[int]) bool { return o.ID == id })
	return len(m.items) < before
}

// next sorts the first item of each team by weighted share, class by class, and removes
// and returns the first one accepted.
func (m *queueModel) next(weightedShare func(string) float64, accept func(Item[int]) bool) (Item[int], bool) {
	for c := range PriorityClasses {
		var heads []Item[int]
		for _, item := range m.items {
			hasHead := slices.ContainsFunc(heads, func(o Item[int]) bool { return o.Team == item.Team })
			if item.PriorityClass == c && !hasHead {
				heads = append(heads, item)
			}
		}
		slices.SortFunc(heads, func(x, y Item[int]) int {
			if shareX, shareY := weightedShare(x.Team), weightedShare(y.Team); shareX != shareY {
				if shareX < shareY {
					return -1
				}
				return 1
			}
			if x.Team < y.Team {
				return -1
			}
			return 1
		})
		for _, head := range heads {
			if accept(head) {
				m.remove(head.ID)
				return head, true
			}
		}
	}
	return Item[int]{}, false
}

func (m *queueModel) waiting(team string) int {
	sum := 0
	for _, item := range m.items {
		if item.Team == team {
			sum += item.taskCount()
		}
	}
	return sum
}

func TestQueueMatchesModel(t *testing.T) {
	teams := []string{"kiln", "tally", "route"}
	rapid.Check(t, func(r *rapid.T) {
		queue := NewQueue[int]()
		model := &queueModel{}
		for range rapid.IntRange(1, 60).Draw(r, "operations") {
			id := fmt.Sprint(rapid.IntRange(0, 15).Draw(r, "id"))
			switch rapid.IntRange(0, 3).Draw(r, "operation") {
			case 0:
				item := Item[int]{
					ID:            id,
					Team:          rapid.SampledFrom(teams).Draw(r, "team"),
					PriorityClass: rapid.IntRange(0, PriorityClasses-1).Draw(r, "band"),
					Tasks:         rapid.IntRange(0, 4).Draw(r, "tasks"),
				}
				front := rapid.Bool().Draw(r, "front")
				queue.Push(item, front)
				model.push(item, front)
			case 1:
				assert.Equal(r, queue.Remove(id), model.remove(id))
			case 2:
				tasks := rapid.IntRange(1, 5).Draw(r, "size")
				found := queue.Resize(id, tasks)
				for i := range model.items {
					if model.items[i].ID == id {
						model.items[i].Tasks = tasks
						assert.Assert(r, found)
					}
				}
			default:
				rejectedTeam := rapid.SampledFrom(teams).Draw(r, "refuse")
				weightedShare := func(team string) float64 { return float64(len(team)) }
				accept := func(item Item[int]) bool { return item.Team != rejectedTeam }
				got, ok := queue.Next(weightedShare, accept)
				want, wantOK := model.next(weightedShare, accept)
				assert.Equal(r, ok, wantOK)
				assert.DeepEqual(r, got, want)
			}
			assert.Equal(r, queue.Len(), len(model.items))
			for _, team := range teams {
				assert.Equal(r, queue.Waiting(team), model.waiting(team))
			}
		}
	})
}

func TestLeastUrgentReturnsLastItem(t *testing.T) {
	queue := NewQueue[int]()
	_, ok := queue.LeastUrgent(0)
	assert.Assert(t, !ok)
	for i, item := range []Item[int]{
		{
			ID:   "urgent",
			Team: "kiln",
		},
		{
			ID:            "low",
			Team:          "tally",
			PriorityClass: 2,
		},
		{
			ID:            "lower",
			Team:          "tally",
			PriorityClass: 2,
		},
	} {
		item.Value = i
		queue.Push(item, false)
	}
	shed, ok := queue.LeastUrgent(0)
	assert.Assert(t, ok)
	assert.Equal(t, shed.ID, "lower")
	_, ok = queue.LeastUrgent(2)
	assert.Assert(t, !ok)
}

func BenchmarkNext(b *testing.B) {
	for _, teams := range []int{6, 260} {
		for _, waiting := range []int{1000, 40000} {
			b.Run(fmt.Sprintf("teams=%d/waiting=%d", teams, waiting), func(b *testing.B) {
				random := rand.New(rand.NewPCG(1, 2))
				queue := NewQueue[int]()
				for i := range waiting {
					queue.Push(Item[int]{
						ID:            fmt.Sprint(i),
						Team:          fmt.Sprint(random.IntN(teams)),
						PriorityClass: random.IntN(PriorityClasses),
					}, false)
				}
				weightedShare := func(team string) float64 { return float64(len(team)) }
				accept := func(Item[int]) bool { return true }
				b.ReportAllocs()
				for b.Loop() {
					item, _ := queue.Next(weightedShare, accept)
					queue.Push(item, false)
				}
			})
		}
	}
}
