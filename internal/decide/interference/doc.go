// Package interference learns from workers' reports which kinds of tasks slow each other down on
// one worker, and turns that into a preference for placement. It uses no network, clock or lock:
// callers pass the time as Unix milliseconds and serialize the calls.
//
// An attempt's speed is compared only with its own speed while other neighbours were beside it (a
// within estimator with one fixed effect for each attempt; Wooldridge, Econometric Analysis of
// Cross Section and Panel Data, chapter 10). Wrong estimates, and workers and racks that are slow
// throughout, cancel out. For each kind, a ridge regression with exponentially decaying weights and
// Huber's weights for outliers (Huber, Annals of Mathematical Statistics 35, 1964) separates the
// effects of the kinds beside it. The aim, to find the culprit among the neighbours of a slow task
// from what production reports anyway, is that of CPI2 (Zhang et al., EuroSys 2013); to place by
// it without trial runs differs from Paragon and Quasar (Delimitrou and Kozyrakis, ASPLOS 2013 and
// 2014), which classify a workload by short runs in isolation.
package interference
