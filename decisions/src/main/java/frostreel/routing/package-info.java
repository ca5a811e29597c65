/**
 * The routing decisions: which member each request goes to, when it is retried, queued or rejected. Pure code on
 * one thread: events come in through {@link frostreel.routing.Router}, actions go out through
 * {@link frostreel.routing.Router.Actions}, and equal events give equal actions. There is no I/O, and time and the
 * seed of random choices are handed in.
 */
package frostreel.routing;
