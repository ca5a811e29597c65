/**
 * The long-polling watch on the discovery agent: HTTP on the event loop's sockets, connections and their
 * timeouts, backoff, the version of the endpoint list held, and the state that operators are shown. Lists are
 * passed on as {@link frostreel.config.EndpointList}; applying them is not done here.
 *
 * <p>Confined to the I/O thread, on which nothing blocks. Depends on {@code frostreel.net} for sockets and
 * timers and on {@code frostreel.config} for the form of a list.
 */
package frostreel.discovery;
