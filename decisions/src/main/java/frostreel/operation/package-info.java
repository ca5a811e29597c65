/**
 * Rules of operation that need no I/O: the serving lifecycle of this process, the operators' commands and their
 * effect on discovered servers, the numbers of request classes across changes of settings, and the table of
 * recent commits that the processes of one pooler share.
 *
 * <p>Owns the state of all of these. Everything is confined to the caller's event loop unless a method says
 * otherwise, and is deterministic: callers pass the time. Depends on {@code frostreel.routing} alone; sockets and
 * files are in the pooler's {@code frostreel.control}.
 */
package frostreel.operation;
