/**
 * Event loop and sockets on top of XNIO, independent of any protocol.
 *
 * <p>{@link frostreel.net.EventLoop} owns the one I/O thread with its clock, timers and read buffer;
 * {@link frostreel.net.LoopHeartbeat} and {@link frostreel.net.EventLoopWatchdog} monitor whether that thread makes
 * progress, and {@link frostreel.net.WatchEventPoll} reads discovery's watch events before
 * input of other connections is handled. {@link frostreel.net.SocketStream} is the byte stream of one connection,
 * {@link frostreel.net.Acceptor} a listening socket.
 */
package frostreel.net;
