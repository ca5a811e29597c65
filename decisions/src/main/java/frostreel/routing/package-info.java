/**
 * Routing decisions: to which member each request is sent, and when it is retried, queued or rejected. The code is
 * confined to one thread and deterministic: {@link frostreel.routing.Router} receives events, {@link
 * frostreel.routing.Router.Actions} receives the resulting actions, and equal events give equal actions. It does no
 * I/O; the caller passes in the time and the seed of random choices.
 */
package frostreel.routing;
