// Package advisor decides through which node the owner sends its next call to the policy service,
// which handles one call at a time for each calling machine. It answers bursts of urgent jobs, whose
// calls take less time at the service than on the way there and back.
package advisor
