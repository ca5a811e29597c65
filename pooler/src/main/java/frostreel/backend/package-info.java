/**
 * The servers' side of a pooler: its connections to servers, and the attempts on them. {@link
 * frostreel.backend.ServerPool} is the entry point, as the {@link frostreel.request.BackEnd} of the broker. All of it
 * is used on the I/O thread alone.
 */
package frostreel.backend;
