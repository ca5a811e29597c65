/**
 * The server side of the pooler: the connection pool, and the attempts that run on its connections.
 * {@link frostreel.backend.ServerPool} is the entry point; it implements the broker's
 * {@link frostreel.request.BackEnd}. All classes are used on the I/O thread only.
 */
package frostreel.backend;
