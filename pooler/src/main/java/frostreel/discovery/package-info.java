/**
 * The long-polling watch on the discovery agent: HTTP on the event loop's sockets, connections and their timeouts,
 * backoff, the version of the current endpoint list, and the status for operators. Lists are passed as {@link
 * frostreel.config.EndpointList} to a listener, which applies them.
 *
 * <p>Confined to the I/O thread, on which nothing blocks. Depends on {@code frostreel.net} for sockets and timers
 * and on {@code frostreel.config} for the format of a list.
 */
package frostreel.discovery;
