/**
 * The client side of the pooler: accepts client connections, submits requests to the broker, and writes the responses.
 * All of it runs on the I/O thread.
 *
 * <p>{@link frostreel.frontend.Listener} accepts connections. {@link frostreel.frontend.ClientTable} stores them,
 * {@link frostreel.frontend.ClientLimits} evicts and rejects near the limits, and
 * {@link frostreel.frontend.ClientDrainer} closes idle connections when the process drains; a
 * {@link frostreel.frontend.FrontEnd} holds the objects that all connections share.
 *
 * <p>Each {@link frostreel.frontend.ClientConnection} has a {@link frostreel.frontend.ClientInput}, which takes
 * messages from a {@link frostreel.frontend.ClientBacklog} and hands them to a
 * {@link frostreel.frontend.StartupHandler}, later to a {@link frostreel.frontend.QueryHandler}; a
 * {@link frostreel.frontend.ClientRequest} for the active request; a {@link frostreel.frontend.ClientTimeouts}; and a
 * {@link frostreel.frontend.LingeringClose} for an orderly close.
 */
package frostreel.frontend;
