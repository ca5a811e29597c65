/**
 * The admin endpoint, the execution and storage of operators' commands, and the other files that the processes of
 * one pooler share.
 *
 * <p>Path of a command: {@link frostreel.control.AdminListener} and {@link frostreel.control.AdminConnection} read a
 * line, {@link frostreel.control.AdminRequestParser} parses it, {@link frostreel.control.CommandExecutor} applies
 * it, {@link frostreel.control.CommandReplicator} passes it to the other processes of this pooler through a {@link
 * frostreel.control.CommandStore}, and an {@link frostreel.control.AdminResponse} is sent back.
 *
 * <p>Owns the admin socket, the commands and the files under the command folder. Everything runs on the I/O thread,
 * except {@code CommandStore}, which blocks and runs on the worker's task thread; {@code SharedClock} and the tables
 * that the processes share ({@code PeerProcessCommits}, {@code PeerProcessRoles}, {@code PeerProcessRequestIds}) are
 * opened before the loop starts. Depends on {@code frostreel.operation} for the rules, on {@code net} for the loop, and
 * on {@code backend} and {@code broker} to publish endpoints.
 */
package frostreel.control;
