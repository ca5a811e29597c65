/**
 * Rules of operation that need no I/O: the serving lifecycle of this process, the operators' commands and their
 * effect on discovered servers, the numbers of request classes across changes of settings, and the table of
 * recent commits that the processes of one pooler share. All of it is deterministic: time is handed in.
 */
package frostreel.operation;
