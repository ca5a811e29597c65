/**
 * Sockets on XNIO, without any protocol.
 *
 * <p>{@link frostreel.net.EventLoop} owns the one I/O thread with its clock, timers and read buffer;
 * {@link frostreel.net.LoopHeartbeat} and {@link frostreel.net.EventLoopWatchdog} observe whether that thread makes
 * progress, {@link frostreel.net.WatchEventPoll} has discovery's events read first.
 * {@link frostreel.net.SocketStream} is the bytes of one connection, {@link frostreel.net.Acceptor} a listening socket.
 */
package frostreel.net;
