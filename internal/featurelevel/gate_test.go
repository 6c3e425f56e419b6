package featurelevel

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a decision that is made while a known VM does not take part, and against one
// that changes with each VM that comes and goes during an upgrade.
func TestGate(t *testing.T) {
	const hold = 10 * time.Second
	for _, c := range []struct {
		name  string
		steps []struct {
			at     time.Duration
			levels []int
			want   int
		}
	}{
		{"all new, then a VM with an older build joins and leaves", []struct {
			at     time.Duration
			levels []int
			want   int
		}{{0, []int{1, 1}, 0}, {9, []int{1, 1}, 0}, {10, []int{1, 1}, 1}, {11, []int{1, 0, 1}, 0}, {12, []int{1, 1}, 0}, {21, []int{1, 1}, 0}, {22, []int{1, 1}, 1}}},
		{"an older VM restarts the time", []struct {
			at     time.Duration
			levels []int
			want   int
		}{{0, []int{1, 1}, 0}, {9, []int{1, 1, 0}, 0}, {11, []int{1, 1}, 0}, {20, []int{1, 1}, 0}, {21, []int{1, 1}, 1}}},
		{"the lowest level of the time counts", []struct {
			at     time.Duration
			levels []int
			want   int
		}{{0, []int{3, 3}, 0}, {5, []int{2, 3}, 0}, {9, []int{3, 3}, 0}, {10, []int{3, 3}, 2}, {11, []int{3, 3}, 2}, {20, []int{3, 3}, 2}, {21, []int{3, 3}, 3}}},
		{"a rollback by one level", []struct {
			at     time.Duration
			levels []int
			want   int
		}{{0, []int{2, 2}, 0}, {10, []int{2, 2}, 2}, {11, []int{2, 1}, 1}, {12, []int{1, 1}, 1}}},
		{"no VM known, and a level out of bounds", []struct {
			at     time.Duration
			levels []int
			want   int
		}{{0, []int{1}, 0}, {10, []int{1}, 1}, {11, nil, 0}, {12, []int{-5}, 0}}},
	} {
		g := NewGate(hold)
		for _, s := range c.steps {
			assert.Equal(t, s.want, g.Update(s.at*time.Second, s.levels), "%s, at %d s", c.name, s.at)
		}
	}
}
