/**
 * Implements {@code frostreel.cluster} over TCP: membership by JGroups, and the replicated log by jgroups-raft. No
 * other package depends on these libraries.
 *
 * <p>The package owns the channel. Calls to it may block, and are made on a dedicated thread. The libraries deliver
 * events on their own threads; each event is passed to the owner's executor.
 */
package frostreel.cluster.jgroups;
