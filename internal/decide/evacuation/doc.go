// Package evacuation decides in which failure domains no task may start, by the operators' requests
// to evacuate them and by how old the knowledge of these is. It uses no network, clock or lock.
package evacuation
