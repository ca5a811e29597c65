/**
 * The side of the servers: the pool of connections to them, and the attempts and health checks that run on these. All
 * of it runs on the I/O thread.
 */
package frostreel.backend;
