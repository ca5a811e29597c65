/**
 * Implements {@code frostreel.cluster} over TCP: membership by JGroups, and the replicated log by jgroups-raft.
 * No other package depends on these libraries.
 *
 * <p>Owns the channel, which is called on one thread of its own, as its calls may block. The libraries deliver
 * events on theirs; each is handed to the owner's executor.
 */
package frostreel.cluster.jgroups;
