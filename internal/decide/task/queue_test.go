package task

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// naiveQueue keeps items in one slice in order of arrival.
type naiveQueue struct {
	items []Item[int]
}

func (n *naiveQueue) push(item Item[int], front bool) {
	if slices.ContainsFunc(n.items, func(o Item[int]) bool { return o.ID == item.ID }) {
		return
	}
	if front {
		n.items = slices.Insert(n.items, 0, item)
		return
	}
	n.items = append(n.items, item)
}

func (n *naiveQueue) remove(id string) bool {
	before := len(n.items)
	n.items = slices.DeleteFunc(n.items, func(o Item[int]) bool { return o.ID == id })
	return len(n.items) < before
}

// next looks for the first acceptable head of band and team by sorting.
func (n *naiveQueue) next(weight func(string) float64, take func(Item[int]) bool) (Item[int], bool) {
	for b := range Bands {
		var heads []Item[int]
		for _, item := range n.items {
			known := slices.ContainsFunc(heads, func(o Item[int]) bool { return o.Team == item.Team })
			if item.Band == b && !known {
				heads = append(heads, item)
			}
		}
		slices.SortFunc(heads, func(x, y Item[int]) int {
			if wx, wy := weight(x.Team), weight(y.Team); wx != wy {
				if wx < wy {
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
			if take(head) {
				n.remove(head.ID)
				return head, true
			}
		}
	}
	return Item[int]{}, false
}

func (n *naiveQueue) waiting(team string) int {
	sum := 0
	for _, item := range n.items {
		if item.Team == team {
			sum += item.tasks()
		}
	}
	return sum
}

func TestQueueFollowsTheNaiveVersion(t *testing.T) {
	teams := []string{"kiln", "tally", "route"}
	rapid.Check(t, func(r *rapid.T) {
		queue := NewQueue[int]()
		naive := &naiveQueue{}
		for range rapid.IntRange(1, 60).Draw(r, "operations") {
			id := fmt.Sprint(rapid.IntRange(0, 15).Draw(r, "id"))
			switch rapid.IntRange(0, 3).Draw(r, "operation") {
			case 0:
				item := Item[int]{
					ID:    id,
					Team:  rapid.SampledFrom(teams).Draw(r, "team"),
					Band:  rapid.IntRange(0, Bands-1).Draw(r, "band"),
					Tasks: rapid.IntRange(0, 4).Draw(r, "tasks"),
				}
				front := rapid.Bool().Draw(r, "front")
				queue.Push(item, front)
				naive.push(item, front)
			case 1:
				assert.Equal(r, queue.Remove(id), naive.remove(id))
			case 2:
				tasks := rapid.IntRange(1, 5).Draw(r, "size")
				found := queue.Resize(id, tasks)
				for i := range naive.items {
					if naive.items[i].ID == id {
						naive.items[i].Tasks = tasks
						assert.Assert(r, found)
					}
				}
			default:
				refuse := rapid.SampledFrom(teams).Draw(r, "refuse")
				weight := func(team string) float64 { return float64(len(team)) }
				take := func(item Item[int]) bool { return item.Team != refuse }
				got, ok := queue.Next(weight, take)
				want, wantOK := naive.next(weight, take)
				assert.Equal(r, ok, wantOK)
				assert.DeepEqual(r, got, want)
			}
			assert.Equal(r, queue.Len(), len(naive.items))
			for _, team := range teams {
				assert.Equal(r, queue.Waiting(team), naive.waiting(team))
			}
		}
	})
}

func TestLeastUrgentIsShedFirst(t *testing.T) {
	queue := NewQueue[int]()
	_, ok := queue.LeastUrgent(0)
	assert.Assert(t, !ok)
	for i, item := range []Item[int]{
		{
			ID:   "urgent",
			Team: "kiln",
		},
		{
			ID:   "low",
			Team: "tally",
			Band: 2,
		},
		{
			ID:   "lower",
			Team: "tally",
			Band: 2,
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
						ID:   fmt.Sprint(i),
						Team: fmt.Sprint(random.IntN(teams)),
						Band: random.IntN(Bands),
					}, false)
				}
				weight := func(team string) float64 { return float64(len(team)) }
				take := func(Item[int]) bool { return true }
				b.ReportAllocs()
				for b.Loop() {
					item, _ := queue.Next(weight, take)
					queue.Push(item, false)
				}
			})
		}
	}
}
