/**
 * The side of the clients: the listener, and their connections with what bounds and times them out. It submits requests
 * to the broker, and writes the answers. All of it runs on the I/O thread.
 */
package frostreel.frontend;
