// Package operator defines the agreement, which is the configuration set by the
// operators: the routes from requests to queues, the teams' keys, and the rules of
// queues and teams. It also provides the node's rate-limited logger.
package operator
