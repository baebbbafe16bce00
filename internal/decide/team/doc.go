// Package team decides how many tasks of each team a shard may run. A Ledger
// counts the units of the team's cap that the shard holds against what runs;
// Limit, Claim, Confirm and
// Give are the rules by which units move through the
// platform's store so that their sum never passes the cap.
package team
