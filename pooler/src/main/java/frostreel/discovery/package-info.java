/**
 * The long-polling watch on the discovery agent: HTTP over the event loop's own sockets, backoff, and the
 * state of the connection that operators see. All of it runs on the I/O thread; lists are handed on as {@link
 * frostreel.config.EndpointList}.
 */
package frostreel.discovery;
