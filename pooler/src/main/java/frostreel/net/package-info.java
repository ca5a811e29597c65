/**
 * Sockets on XNIO, without any protocol: the event loop and its one I/O thread, the watchdog over it, the bytes of a
 * connection, and the listening socket.
 */
package frostreel.net;
