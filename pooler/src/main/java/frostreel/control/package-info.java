/**
 * Operators' commands from the socket to the disk, and what else the processes of one pooler share in files.
 *
 * <p>A command's way: {@link frostreel.control.AdminListener} and {@link frostreel.control.AdminConnection} read
 * a line, {@link frostreel.control.AdminRequestParser} parses it, {@link frostreel.control.CommandExecutor}
 * applies it, {@link frostreel.control.CommandReplicator} carries it to the other processes of this pooler by
 * way of a {@link frostreel.control.CommandStore}, and an {@link frostreel.control.AdminReply} answers it.
 */
package frostreel.control;
