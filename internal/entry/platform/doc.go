// Package platform keeps an entry's copy of the platform's data: the operators'
// agreement (teams, keys, presets and units), read from the store or from peers
// and never replaced by a lower revision, and the directory of VMs. It also keeps
// the journal of requests that must run at most once, in the store.
package platform
