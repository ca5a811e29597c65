/**
 * Operational rules that need no I/O: the serving lifecycle of this process, the operators' commands and their effect
 * on discovered servers, the numbering of request classes across settings changes, and the tables of recent
 * commits and of members' roles that the processes of one pooler share.
 *
 * <p>The package owns the state of these rules. Everything is confined to the caller's event loop unless a method
 * says otherwise, and is deterministic: callers pass the time. Depends only on {@code frostreel.routing}; the related
 * sockets and files belong to the pooler's {@code frostreel.control}.
 */
package frostreel.operation;
