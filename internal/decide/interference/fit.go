package interference

import (
	"cmp"
	"math"
	"slices"
)

const (
	// fitInterval is the least time between fits in milliseconds.
	fitInterval = 500
	// A regression needs minWeight observations, and minWeightPerSlope for each neighbour.
	minWeight         = 30
	minWeightPerSlope = 10
	// initialNoise is assumed for the standard deviation of the noise until there is a fit.
	initialNoise = 0.5
	// huberFactor is Huber's limit for residuals, in standard deviations.
	huberFactor = 1.345
	// priorDeviation is the standard deviation of a slope before any observation: a neighbour with
	// the whole worker is expected to change the speed by a factor of up to about e².
	priorDeviation = 2
	// A pair becomes known once the slope has been sureDeviations standard errors from zero in
	// sureFits fits, and a typical neighbour has slowed the kind by minSlowdown at least even if the
	// slope was off by boundDeviations. It stays known while the slope is keptDeviations standard
	// errors from zero. There can be maxKinds² pairs, of which chance should single out none.
	sureDeviations  = 4
	sureFits        = 5
	boundDeviations = 2
	keptDeviations  = 3
	minSlowdown     = 0.05
)

// kindState is what is known of one kind: the regression of the log speed of its attempts on the
// shares of the kinds beside them, and averages.
type kindState struct {
	kind Kind
	// The decaying sums of the regression: weighted cross products of deviations, and the number of
	// observations.
	gram   [maxKinds][maxKinds]float64
	moment [maxKinds]float64
	square float64
	weight float64
	// The last fit: slopes of log speed by neighbour, their standard errors, and the standard
	// deviation of the residuals (zero before the first fit).
	slope, deviation [maxKinds]float64
	noise            float64
	// sure is, by neighbour, the number of fits in a row that were sure of a slowdown, up to
	// sureFits.
	sure [maxKinds]int
	// Decaying averages over the attempts: the share of a worker that one has, the share of the
	// serving ones that are within their target, and the log speed alone relative to the estimate.
	share, within, alone average
}

// average is a mean with decaying weights.
type average struct {
	sum, weight float64
}

func (a *average) add(x float64) {
	a.sum += x
	a.weight++
}

func (a *average) decay(factor float64) {
	a.sum *= factor
	a.weight *= factor
}

// mean returns the mean, or zero without observations.
func (a average) mean() float64 {
	if a.weight == 0 {
		return 0
	}
	return a.sum / a.weight
}

func (s *kindState) observeCores(share float64, a Attempt) {
	s.share.add(share)
	if a.TailTargetMillis <= 0 {
		return
	}
	within := 0.0
	if a.TailMillis <= a.TailTargetMillis {
		within = 1
	}
	s.within.add(within)
}

// observeRelative takes in a log speed relative to the estimate, less the effect of the neighbours.
func (s *kindState) observeRelative(relative float64, beside exposure) {
	if math.IsNaN(relative) {
		return
	}
	for k, share := range beside {
		relative -= s.slope[k] * float64(share)
	}
	s.alone.add(relative)
}

// residual returns what the last fit does not explain of the observation.
func (s *kindState) residual(o observation) float64 {
	residual := o.logSpeed
	for k, x := range o.exposure {
		residual -= s.slope[k] * x
	}
	return residual
}

// add takes in an observation. It counts less if it is an outlier, and if all attempts on the
// worker, of which there are count others, changed their speed without their neighbours' doing:
// common is the mean of the others' residuals.
func (s *kindState) add(o observation, common float64, count int) {
	noise := s.noise
	if noise == 0 {
		noise = initialNoise
	}
	trust := huberWeight(s.residual(o)*math.Sqrt(o.precision), noise)
	if count > 0 {
		trust *= huberWeight(common*math.Sqrt(float64(count)*o.precision), noise)
	}
	weight := trust * o.precision
	for j, x := range o.exposure {
		if x == 0 {
			continue
		}
		s.moment[j] += weight * x * o.logSpeed
		for k := range o.exposure {
			s.gram[j][k] += weight * x * o.exposure[k]
		}
	}
	s.square += weight * o.logSpeed * o.logSpeed
	s.weight += trust
}

// huberWeight returns Huber's weight of a residual with the standard deviation.
func huberWeight(residual, deviation float64) float64 {
	if r := math.Abs(residual); r > huberFactor*deviation {
		return huberFactor * deviation / r
	}
	return 1
}

func (s *kindState) decay(factor float64) {
	for j := range s.gram {
		s.moment[j] *= factor
		for k := range s.gram[j] {
			s.gram[j][k] *= factor
		}
	}
	s.square *= factor
	s.weight *= factor
	s.share.decay(factor)
	s.within.decay(factor)
	s.alone.decay(factor)
}

// forgetNeighbour removes what is known of the neighbour.
func (s *kindState) forgetNeighbour(slot int) {
	for k := range s.gram {
		s.gram[slot][k], s.gram[k][slot] = 0, 0
	}
	s.moment[slot], s.slope[slot], s.deviation[slot], s.sure[slot] = 0, 0, 0, 0
}

// Fit brings the estimates up to date, at most every half second. The parameter now is a Unix
// millisecond.
func (m *Model) Fit(now int64) {
	elapsed := now - m.fitMillis
	if elapsed < fitInterval {
		return
	}
	if m.fitMillis == 0 {
		elapsed = fitInterval
	}
	m.fitMillis = now
	m.forgetSilent(now)
	if m.newcomer != nil {
		least := 0
		for n := range m.kinds {
			if m.kinds[n].weight < m.kinds[least].weight {
				least = n
			}
		}
		m.forgetKind(least, *m.newcomer)
		m.newcomer = nil
	}
	for n := range m.kinds {
		m.kinds[n].fit()
		m.updateSure(n)
		m.kinds[n].decay(math.Exp(-float64(elapsed) / decayMillis))
	}
}

// updateSure updates which of its neighbours the kind is known to be slowed down by.
func (m *Model) updateSure(slowed int) {
	s := &m.kinds[slowed]
	for k := range m.kinds {
		slope, deviation := s.slope[k], s.deviation[k]
		bound := loss(slope+boundDeviations*deviation, m.kinds[k].share.mean())
		switch {
		case s.sure[k] == sureFits && deviation > 0 && -slope >= keptDeviations*deviation:
		case deviation > 0 && -slope >= sureDeviations*deviation && bound >= minSlowdown:
			s.sure[k] = min(sureFits, s.sure[k]+1)
		default:
			s.sure[k] = 0
		}
	}
}

// fit solves the ridge regression for the slopes.
func (s *kindState) fit() {
	s.slope, s.deviation = [maxKinds]float64{}, [maxKinds]float64{}
	var active []int
	for k := range s.gram {
		if s.gram[k][k] > 1e-9 {
			active = append(active, k)
		}
	}
	freedom := s.weight - float64(len(active))
	if s.weight < minWeight+minWeightPerSlope*float64(len(active)) {
		s.noise = 0
		return
	}
	noise := s.noise
	if noise == 0 {
		noise = math.Sqrt(s.square / freedom)
	}
	ridge := noise * noise / (priorDeviation * priorDeviation)
	matrix := make([][]float64, len(active))
	moment := make([]float64, len(active))
	for row, j := range active {
		matrix[row] = make([]float64, len(active))
		for column, k := range active {
			matrix[row][column] = s.gram[j][k]
		}
		matrix[row][row] += ridge + 1e-12
		moment[row] = s.moment[j]
	}
	cholesky(matrix)
	slopes := solve(matrix, moment)
	explained := 0.0
	for row, j := range active {
		s.slope[j] = slopes[row]
		explained += 2 * slopes[row] * s.moment[j]
		for column, k := range active {
			explained -= slopes[row] * slopes[column] * s.gram[j][k]
		}
	}
	s.noise = math.Sqrt(max(s.square-explained, 0)/freedom) + 1e-6
	for row, j := range active {
		unit := make([]float64, len(active))
		unit[row] = 1
		s.deviation[j] = s.noise * math.Sqrt(max(solve(matrix, unit)[row], 0))
	}
}

// cholesky replaces the lower triangle of the positive definite matrix by its Cholesky factor.
func cholesky(a [][]float64) {
	for i := range a {
		for j := range i + 1 {
			sum := a[i][j]
			for k := range j {
				sum -= a[i][k] * a[j][k]
			}
			if i == j {
				a[i][i] = math.Sqrt(max(sum, 1e-12))
			} else {
				a[i][j] = sum / a[j][j]
			}
		}
	}
}

// solve returns x with L·Lᵀ·x = b for the lower triangular factor.
func solve(factor [][]float64, b []float64) []float64 {
	x := slices.Clone(b)
	for i := range x {
		for k := range i {
			x[i] -= factor[i][k] * x[k]
		}
		x[i] /= factor[i][i]
	}
	for i := len(x) - 1; i >= 0; i-- {
		for k := i + 1; k < len(x); k++ {
			x[i] -= factor[k][i] * x[k]
		}
		x[i] /= factor[i][i]
	}
	return x
}

// Pair is a kind of tasks and a kind beside it that slows it down.
type Pair struct {
	Slowed, Beside Kind
	// Slowdown is the part of its speed that a task loses beside one typical task, and Sureness the
	// distance of the effect from zero in standard errors.
	Slowdown, Sureness float64
}

// Pairs returns the known pairs, the largest slowdown first.
func (m *Model) Pairs() []Pair {
	var pairs []Pair
	for n := range m.kinds {
		for k := range m.kinds {
			if !m.known(n, k) {
				continue
			}
			s := &m.kinds[n]
			pairs = append(pairs, Pair{
				Slowed:   s.kind,
				Beside:   m.kinds[k].kind,
				Slowdown: loss(s.slope[k], m.kinds[k].share.mean()),
				Sureness: -s.slope[k] / s.deviation[k],
			})
		}
	}
	slices.SortFunc(pairs, func(a, b Pair) int {
		return cmp.Compare(b.Slowdown, a.Slowdown)
	})
	return pairs
}

// known reports whether tasks in slot beside are known to slow down those in slot slowed.
func (m *Model) known(slowed, beside int) bool {
	return m.kinds[slowed].sure[beside] == sureFits
}

// loss returns the part of its speed that a task loses beside neighbours with the share of the
// worker.
func loss(slope, share float64) float64 {
	return clamp(1-math.Exp(slope*share), 0, 1)
}

// Undecided returns for how many of the observed pairs the observations rule out, by boundDeviations
// standard errors, that a typical neighbour slows the kind by minSlowdown, and how many others are
// not known to.
func (m *Model) Undecided() (ruledOut, undecided int) {
	for n := range m.kinds {
		s := &m.kinds[n]
		for k := range m.kinds {
			switch {
			case s.deviation[k] == 0 || m.known(n, k):
			case loss(s.slope[k]-boundDeviations*s.deviation[k], m.kinds[k].share.mean()) < minSlowdown:
				ruledOut++
			default:
				undecided++
			}
		}
	}
	return ruledOut, undecided
}

// Alone is the speed of a kind without the neighbours that slow it down.
type Alone struct {
	Kind Kind
	// Speed is the geometric mean of the speed relative to the estimates, and Noise the standard
	// deviation of an attempt's log speed around its own mean.
	Speed, Noise float64
}

// Speeds returns the expected speed alone of each kind that has made progress.
func (m *Model) Speeds() []Alone {
	var speeds []Alone
	for n := range m.kinds {
		if s := &m.kinds[n]; s.alone.weight >= 1 {
			speeds = append(speeds, Alone{
				Kind:  s.kind,
				Speed: math.Exp(s.alone.mean()),
				Noise: s.noise,
			})
		}
	}
	return speeds
}
