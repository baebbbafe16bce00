// Command cell2 plays the scripted cases of the second review: it starts nodes as separate
// processes, with the command of the deploy file, and a stand-in platform, stand-in runners
// and clients in its own process. It checks what these see against the users' rules.
package main
