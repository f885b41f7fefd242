// Package capacity calculates whether each role stays within its budgets at the target size. Its inputs are
// the target size, assumptions and budgets (docs/capacity/numbers.toml), recorded slopes
// (docs/capacity/slopes/*.toml) and the duties of the roles (docs/capacity/duties.toml); its result is the
// tables of docs/CAPACITY.md. It never measures anything: Slope.Fit and Slope.Record take the values that a
// benchmark or a run has produced.
//
// An estimate has one of four bases: measured at that size; interpolated between two measured sizes;
// extrapolated along the line of a linear slope; or nonlinear, outside of the measured range of a slope that
// is not linear, where there is no estimate.
//
// A metric with a budget has one of three verdicts at a size:
//
//   - WithinBudget: the estimate and its worst case are within the budget, and the estimate is measured, interpolated, or
//     extrapolated from sizes of which the largest is at least MinCoverage of the size.
//   - OverBudget: the estimate exceeds the budget, or a smaller measured size exceeds it already.
//   - Unproven: neither can be shown.
//
// Below the smallest measured size the same holds down to MinCoverage of it; for still smaller sizes a metric
// that grows is WithinBudget if the smallest measured size is, and Unproven otherwise. A duty that no code
// implements is Absent.
package capacity
